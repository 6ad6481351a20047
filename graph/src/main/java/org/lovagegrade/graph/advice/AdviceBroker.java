package org.lovagegrade.graph.advice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;

/**
 * Keeps the questions that wait for the adviser, gives them to processes that offer to ask, and remembers the answers.
 * The adviser serves one call at a time for each process, so questions that take long never get all processes.
 *
 * <p>Example: {@code board.request("j.0.0", List.of("w1"), 0, 20, nowMs);}
 */
public final class AdviceBroker {
    /** A ticket must still be good when the order arrives; covers a commit and the way to the worker. */
    private static final long TICKET_MARGIN_MS = 250;
    /** A question longer than this may not take the processes kept for quick ones. */
    private static final double SLOW_QUESTION_MS = 200;
    /** The share of processes that slow questions leave alone. */
    private static final double KEPT_FOR_QUICK = 0.4;
    /** How long beyond its expected time an answer is waited for. */
    private static final long ANSWER_SLACK_MS = 1_500;
    /** How long an offer is held when there is nothing to ask. */
    private static final long HOLD_OFFER_MS = 500;
    /** A process that offered nothing for this long is not counted. */
    private static final long CALLER_SILENT_MS = 5_000;

    private final Map<String, StepAdvice> steps = new HashMap<>();
    private final List<Question> waiting = new ArrayList<>();
    private final Map<Long, Question> asked = new TreeMap<>();
    private final Deque<Offer> offers = new ArrayDeque<>();
    private final Map<String, Long> callersHeardMs = new HashMap<>();
    private long nextNumber = 1;

    /** A question, who asks it and until when its answer is waited for. */
    private static final class Question {
        final AdviceQuestionProto proto;
        final int priority;
        final double costMs;
        long giveUpAtMs;

        Question(AdviceQuestionProto proto, int priority, double costMs) {
            this.proto = proto;
            this.priority = priority;
            this.costMs = costMs;
        }

        boolean isSlow() {
            return costMs > SLOW_QUESTION_MS;
        }
    }

    /** A process that waits for a question. */
    private record Offer(String caller, Consumer<List<AdviceQuestionProto>> reply, long sinceMs) {}

    /**
     * What is known about a step on a worker.
     *
     * @param step the step's name
     * @param worker the id of the worker
     * @param nowMs the present time in milliseconds
     * @return the verdict
     */
    public Verdict verdict(String step, String worker, long nowMs) {
        StepAdvice advice = steps.get(step);
        return advice == null ? Verdict.UNKNOWN : advice.verdict(worker, nowMs);
    }

    /**
     * The latest ticket of a step on a worker.
     *
     * @param step the step's name
     * @param worker the id of the worker
     * @return the ticket, or an empty text
     */
    public String ticket(String step, String worker) {
        StepAdvice advice = steps.get(step);
        return advice == null ? "" : advice.ticket(worker).orElse("");
    }

    /**
     * Whether the adviser is being asked about a step.
     *
     * @param step the step's name
     * @return true while a question waits or is under way
     */
    public boolean isPending(String step) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.isAsked;
    }

    /**
     * Wants a question asked, unless one about the same step waits already.
     *
     * @param step the step's name
     * @param workers the ids of the workers to name
     * @param priority the priority of the queue; 0 goes first
     * @param costMs how long the adviser will take, in milliseconds
     * @param nowMs the present time in milliseconds
     */
    public void request(String step, List<String> workers, int priority, double costMs, long nowMs) {
        StepAdvice advice = steps.computeIfAbsent(step, _name -> new StepAdvice());
        if (advice.isAsked || workers.isEmpty()) {
            return;
        }
        advice.isAsked = true;
        AdviceQuestionProto proto = AdviceQuestionProto.newBuilder()
                .setNumber(nextNumber++)
                .setStep(step)
                .addAllWorkers(workers)
                .build();
        waiting.add(new Question(proto, priority, costMs));
        waiting.sort(Comparator.<Question>comparingInt(question -> question.priority)
                .thenComparingLong(question -> question.proto.getNumber()));
        dispatch(nowMs);
    }

    /**
     * Takes an offer to ask, with what was heard before.
     *
     * @param caller the process that offers
     * @param results what it heard
     * @param reply takes the next question, or none after a while
     * @param nowMs the present time in milliseconds
     * @return whether an answer came in
     */
    public boolean poll(
            String caller, List<AdviceResultProto> results, Consumer<List<AdviceQuestionProto>> reply, long nowMs) {
        callersHeardMs.put(caller, nowMs);
        boolean heard = false;
        for (AdviceResultProto result : results) {
            heard |= heard(result, nowMs);
        }
        offers.removeIf(offer -> offer.caller().equals(caller));
        offers.add(new Offer(caller, reply, nowMs));
        dispatch(nowMs);
        return heard;
    }

    private boolean heard(AdviceResultProto result, long nowMs) {
        Question question = asked.remove(result.getNumber());
        StepAdvice advice = question == null ? null : steps.get(question.proto.getStep());
        if (advice == null) {
            return false;
        }
        advice.isAsked = false;
        if (result.getAnswered()) {
            advice.heard(question.proto.getWorkersList(), result, TICKET_MARGIN_MS, nowMs);
        }
        return true;
    }

    /**
     * Gives up on answers that do not come and on offers that were held long enough.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        Iterator<Question> late = asked.values().iterator();
        while (late.hasNext()) {
            Question question = late.next();
            if (question.giveUpAtMs < nowMs) {
                late.remove();
                StepAdvice advice = steps.get(question.proto.getStep());
                if (advice != null) {
                    advice.isAsked = false;
                }
            }
        }
        while (!offers.isEmpty() && offers.peek().sinceMs() + HOLD_OFFER_MS < nowMs) {
            offers.poll().reply().accept(List.of());
        }
        callersHeardMs.values().removeIf(heardMs -> heardMs + CALLER_SILENT_MS < nowMs);
        dispatch(nowMs);
    }

    private void dispatch(long nowMs) {
        Iterator<Question> next = waiting.iterator();
        while (next.hasNext() && !offers.isEmpty()) {
            Question question = next.next();
            if (!steps.containsKey(question.proto.getStep())) {
                next.remove();
            } else if (!question.isSlow() || mayAskSlowly()) {
                next.remove();
                give(question, nowMs);
            }
        }
    }

    private boolean mayAskSlowly() {
        long slow = asked.values().stream().filter(Question::isSlow).count();
        int callers = Math.max(1, callersHeardMs.size());
        int kept = callers == 1 ? 0 : (int) Math.ceil(callers * KEPT_FOR_QUICK);
        return slow < callers - kept;
    }

    private void give(Question question, long nowMs) {
        question.giveUpAtMs = nowMs + (long) question.costMs + ANSWER_SLACK_MS;
        asked.put(question.proto.getNumber(), question);
        offers.poll().reply().accept(List.of(question.proto));
    }

    /**
     * A worker refused a ticket; it is asked for again.
     *
     * @param step the step's name
     * @param worker the id of the worker
     */
    public void ticketRefused(String step, String worker) {
        StepAdvice advice = steps.get(step);
        if (advice != null) {
            advice.expire(worker);
        }
    }

    /**
     * Forgets what was said about a step that needs no more starts.
     *
     * @param step the step's name
     */
    public void forgetStep(String step) {
        steps.remove(step);
    }

    /**
     * Forgets what was said about a life of a worker that is gone.
     *
     * @param worker the id of the worker
     */
    public void forgetWorker(String worker) {
        steps.values().forEach(advice -> advice.forgetWorker(worker));
    }

    /**
     * How many questions wait for a process that asks them.
     *
     * @return the number
     */
    public int queuedQuestions() {
        return waiting.size();
    }
}
