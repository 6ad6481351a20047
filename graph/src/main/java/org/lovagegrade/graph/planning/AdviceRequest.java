package org.lovagegrade.graph.planning;

import java.util.List;
import org.lovagegrade.graph.advice.QuestionPurpose;
import org.lovagegrade.graph.advice.QuestionRank;
import org.lovagegrade.graph.advice.QuestionWish;

/**
 * Advice that the planner needs on a step.
 *
 * @param step the step's name
 * @param queue the name of the step's queue
 * @param workers the ids of the workers to ask about
 * @param priority the queue's priority; a lower number goes first
 * @param costMs the expected duration of the adviser's call, in milliseconds
 * @param purpose what the answer is for
 * @param urgency whether the occurrence can still meet its objective
 * @param latestStartMs when the step must start to meet the objective, in milliseconds since 1970
 * @param expectedCoreMs the work that is expected to start with the tickets, in core-ms
 */
public record AdviceRequest(
        String step,
        String queue,
        List<String> workers,
        int priority,
        double costMs,
        QuestionPurpose purpose,
        Urgency urgency,
        long latestStartMs,
        double expectedCoreMs) {
    /** The cost of delay falls to 1/e with so much slack: about the time from a question to its last use. */
    private static final double SLACK_SCALE_MS = 1_000;

    /**
     * Creates the question for the broker.
     *
     * @param wallMs the present time, in milliseconds since 1970
     * @return the question, ranked by what is lost while it waits
     */
    public QuestionWish toWish(long wallMs) {
        long slackMs = Math.max(0, latestStartMs - wallMs);
        double delayCost = expectedCoreMs / Math.max(1, costMs) * Math.exp(-slackMs / SLACK_SCALE_MS);
        QuestionRank rank = new QuestionRank(purpose, priority, urgency != Urgency.IN_TIME, delayCost);
        return new QuestionWish(step, queue, workers, rank, costMs);
    }
}
