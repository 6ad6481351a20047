package org.lovagegrade.graph.advice;

import java.util.List;
import java.util.function.Predicate;

/**
 * A question that the latest plan requests; it is not sent yet and a later plan may replace it.
 *
 * @param step the step's name
 * @param queue the name of the step's queue
 * @param workers the ids of the workers to ask about
 * @param rank the question's place among those that wait
 * @param costMs the expected duration of the adviser's call, in milliseconds
 */
public record QuestionWish(String step, String queue, List<String> workers, QuestionRank rank, double costMs) {
    /** Returns this question without some workers, given by their ids. */
    QuestionWish without(Predicate<String> isExcluded) {
        List<String> others = workers.stream().filter(isExcluded.negate()).toList();
        return new QuestionWish(step, queue, others, rank, costMs);
    }
}
