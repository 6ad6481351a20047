package org.lovagegrade.graph.advice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.ListIterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;

/**
 * Queues questions for the adviser, hands them to processes that poll for them, and keeps the answers. The adviser
 * serves one call at a time for each process; some processes are reserved for quick questions, so that slow ones never
 * occupy all of them.
 *
 * <p>Example: {@code broker.request("j.0.0", List.of("w1"), 0, 20, nowMs);}
 */
public final class AdviceBroker {
    /** Tickets expire this much early: before the order reaches the worker it has to be committed and sent. */
    private static final long TICKET_MARGIN_MS = 250;
    /** A question with a higher cost is slow and may not use the processes that are reserved for quick ones. */
    private static final double SLOW_QUESTION_MS = 200;
    /** The fraction of processes that is reserved for quick questions, if there are several. */
    private static final double QUICK_QUESTION_SHARE = 0.4;
    /** A question times out this long after its expected duration. */
    private static final long ANSWER_SLACK_MS = 1_500;
    /** How long a poll is held open while there is no question for it. */
    private static final long POLL_TIMEOUT_MS = 500;
    /** A process that hasn't polled for this long is not counted. */
    private static final long CALLER_TIMEOUT_MS = 5_000;

    private final Map<String, StepAdvice> steps = new HashMap<>();
    private final List<Question> queued = new ArrayList<>();
    private final Map<Long, Question> inFlight = new TreeMap<>();
    private final Deque<Poll> polls = new ArrayDeque<>();
    private final Map<String, Long> lastPollMsByCaller = new HashMap<>();
    private long nextQuestionNumber = 1;

    /** A question that is queued or sent, and the time at which it times out once it is sent. */
    private static final class Question {
        final AdviceQuestionProto proto;
        final int priority;
        final double costMs;
        long timesOutAtMs;

        Question(AdviceQuestionProto proto, int priority, double costMs) {
            this.proto = proto;
            this.priority = priority;
            this.costMs = costMs;
        }

        /** Returns this question, about some of its workers only. */
        Question about(List<String> workers) {
            AdviceQuestionProto remaining =
                    proto.toBuilder().clearWorkers().addAllWorkers(workers).build();
            return new Question(remaining, priority, costMs);
        }

        boolean isSlow() {
            return costMs > SLOW_QUESTION_MS;
        }
    }

    /** An open poll of a process that waits for a question. */
    private record Poll(String caller, Consumer<List<AdviceQuestionProto>> reply, long sinceMs) {}

    /**
     * Returns the verdict on running a step on a worker.
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
     * @return the ticket, which may be stale, or an empty string if there is none
     */
    public String ticket(String step, String worker) {
        StepAdvice advice = steps.get(step);
        return advice == null ? "" : advice.ticket(worker).orElse("");
    }

    /**
     * Whether a question about a step is pending.
     *
     * @param step the step's name
     * @return true while a question is queued or unanswered
     */
    public boolean isPending(String step) {
        StepAdvice advice = steps.get(step);
        return advice != null && advice.isPending;
    }

    /**
     * Queues a question, unless one about the same step is pending.
     *
     * @param step the step's name
     * @param workers the ids of the workers to ask about
     * @param priority the queue's priority; a lower number goes first
     * @param costMs the expected duration of the adviser's call, in milliseconds
     * @param nowMs the present time in milliseconds
     */
    public void request(String step, List<String> workers, int priority, double costMs, long nowMs) {
        StepAdvice advice = steps.computeIfAbsent(step, _name -> new StepAdvice());
        if (advice.isPending || workers.isEmpty()) {
            return;
        }
        advice.isPending = true;
        AdviceQuestionProto proto = AdviceQuestionProto.newBuilder()
                .setNumber(nextQuestionNumber++)
                .setStep(step)
                .addAllWorkers(workers)
                .build();
        queued.add(new Question(proto, priority, costMs));
        queued.sort(Comparator.<Question>comparingInt(question -> question.priority)
                .thenComparingLong(question -> question.proto.getNumber()));
        dispatch(nowMs);
    }

    /**
     * Accepts the results of a process, and its poll for the next question, which replaces its open one.
     *
     * @param caller the process that polls
     * @param results the results of its earlier questions
     * @param reply receives the next question, or an empty list when the poll times out
     * @param nowMs the present time in milliseconds
     * @return whether a result settled a pending question, with or without an answer
     */
    public boolean poll(
            String caller, List<AdviceResultProto> results, Consumer<List<AdviceQuestionProto>> reply, long nowMs) {
        lastPollMsByCaller.put(caller, nowMs);
        boolean isSettled = false;
        for (AdviceResultProto result : results) {
            isSettled |= settle(result, nowMs);
        }
        polls.removeIf(poll -> poll.caller().equals(caller));
        polls.add(new Poll(caller, reply, nowMs));
        dispatch(nowMs);
        return isSettled;
    }

    private boolean settle(AdviceResultProto result, long nowMs) {
        Question question = inFlight.remove(result.getNumber());
        StepAdvice advice = question == null ? null : steps.get(question.proto.getStep());
        if (advice == null) {
            return false;
        }
        advice.isPending = false;
        if (result.getAnswered()) {
            advice.update(question.proto.getWorkersList(), result, TICKET_MARGIN_MS, nowMs);
        }
        return true;
    }

    /**
     * Handles timeouts: of questions without an answer, of open polls, and of processes that no longer poll.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        Iterator<Question> unanswered = inFlight.values().iterator();
        while (unanswered.hasNext()) {
            Question question = unanswered.next();
            if (question.timesOutAtMs < nowMs) {
                unanswered.remove();
                StepAdvice advice = steps.get(question.proto.getStep());
                if (advice != null) {
                    advice.isPending = false;
                }
            }
        }
        while (!polls.isEmpty() && polls.peek().sinceMs() + POLL_TIMEOUT_MS < nowMs) {
            polls.poll().reply().accept(List.of());
        }
        lastPollMsByCaller.values().removeIf(polledMs -> polledMs + CALLER_TIMEOUT_MS < nowMs);
        dispatch(nowMs);
    }

    private void dispatch(long nowMs) {
        Iterator<Question> next = queued.iterator();
        while (next.hasNext() && !polls.isEmpty()) {
            Question question = next.next();
            if (!steps.containsKey(question.proto.getStep())) {
                next.remove();
            } else if (!question.isSlow() || canSendSlow()) {
                next.remove();
                send(question, nowMs);
            }
        }
    }

    private boolean canSendSlow() {
        long slow = inFlight.values().stream().filter(Question::isSlow).count();
        int callers = Math.max(1, lastPollMsByCaller.size());
        int reserved = callers == 1 ? 0 : (int) Math.ceil(callers * QUICK_QUESTION_SHARE);
        return slow < callers - reserved;
    }

    private void send(Question question, long nowMs) {
        question.timesOutAtMs = nowMs + (long) question.costMs + ANSWER_SLACK_MS;
        inFlight.put(question.proto.getNumber(), question);
        polls.poll().reply().accept(List.of(question.proto));
    }

    /**
     * Removes workers from the questions that were not sent yet, and the questions that are about no other worker.
     *
     * @param isExcluded whether a worker, given by its id, gets no starts
     */
    public void excludeFromQueuedQuestions(Predicate<String> isExcluded) {
        ListIterator<Question> remaining = queued.listIterator();
        while (remaining.hasNext()) {
            Question question = remaining.next();
            List<String> workers = question.proto.getWorkersList().stream()
                    .filter(isExcluded.negate())
                    .toList();
            if (!workers.isEmpty()) {
                remaining.set(question.about(workers));
                continue;
            }
            remaining.remove();
            StepAdvice advice = steps.get(question.proto.getStep());
            if (advice != null) {
                advice.isPending = false;
            }
        }
    }

    /**
     * Marks the ticket for a worker as stale, after the worker refused it, so that a new one is requested.
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
     * Removes the advice on a step that needs no more starts.
     *
     * @param step the step's name
     */
    public void forgetStep(String step) {
        steps.remove(step);
    }

    /**
     * Removes the advice on a worker whose incarnation was removed.
     *
     * @param worker the id of the worker
     */
    public void forgetWorker(String worker) {
        steps.values().forEach(advice -> advice.forgetWorker(worker));
    }

    /**
     * The number of questions that wait for a poll.
     *
     * @return the number
     */
    public int queuedQuestions() {
        return queued.size();
    }
}
