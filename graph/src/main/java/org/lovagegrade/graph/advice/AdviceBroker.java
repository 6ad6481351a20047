package org.lovagegrade.graph.advice;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.AdviceQuestionProto;
import org.lovagegrade.wire.proto.AdviceResultProto;

/**
 * Holds the questions of the latest plan, hands them to processes that poll for them, and keeps the answers. The adviser
 * serves one call at a time for each process; some processes are reserved for quick questions, so that slow ones never
 * occupy all of them. A question is fixed only when it is sent: until then each plan replaces it.
 *
 * <p>Example: {@code broker.replaceQueue(wishes, nowMs);}
 */
public final class AdviceBroker {
    private static final String QUESTIONS_METRIC = "lovagegrade_advice_questions";
    /** Tickets expire this much early: before the order reaches the worker it has to be committed and sent. */
    private static final long TICKET_MARGIN_MS = 250;
    /** A question with a higher cost is slow and may not use the processes that are reserved for quick ones. */
    private static final double SLOW_QUESTION_MS = 200;
    /** The fraction of processes that is reserved for quick questions, if there are several. */
    private static final double QUICK_QUESTION_SHARE = 0.4;
    /** The fraction of processes that may ask background questions; at least one may. Others find the rest free. */
    private static final double BACKGROUND_QUESTION_SHARE = 0.3;
    /** A question times out after its expected duration, {@link #ANSWER_SLACK_SHARE} of it, and this time. */
    private static final long ANSWER_SLACK_MS = 400;

    private static final double ANSWER_SLACK_SHARE = 0.5;
    /** An answer is accepted this long after its question has timed out; the calling process waits at most 4 s. */
    private static final long LATE_ANSWER_MS = 5_000;
    /** How long a poll is held open while there is no question for it. */
    private static final long POLL_TIMEOUT_MS = 500;

    private final Map<String, StepAdvice> steps = new HashMap<>();
    private final List<QuestionWish> queued = new ArrayList<>();
    private final Map<Long, Question> inFlight = new TreeMap<>();
    private final Map<Long, Question> timedOut = new TreeMap<>();
    private final List<Poll> polls = new ArrayList<>();
    private final AdviceCallers callers = new AdviceCallers();
    private final AllowedShares allowedShares = new AllowedShares();
    private final Consumer<SettledQuestion> settledQuestions;
    private final Metrics metrics;
    private long nextQuestionNumber;

    /** The outcome of a question. */
    private enum Outcome {
        /** The adviser answered in time. */
        ANSWERED,
        /** The adviser answered after the question was sent again or its step was done. */
        ANSWERED_LATE,
        /** The calling process got no answer, or a refusal, from the adviser. */
        UNANSWERED,
        /** The calling process reported nothing in time. */
        TIMED_OUT,
        /** The calling process polled again without a result, so it didn't receive the question. */
        LOST,
        /** The question was not sent, since a later plan had no use for it. */
        DROPPED
    }

    /** A question that was sent. */
    private record Question(QuestionWish wish, long number, String caller, long sentAtMs) {
        boolean isSlow() {
            return AdviceBroker.isSlow(wish);
        }

        boolean isBackground() {
            return wish.rank().isBackground();
        }

        Question without(String worker) {
            return new Question(wish.without(worker::equals), number, caller, sentAtMs);
        }

        long timesOutAtMs() {
            return sentAtMs + ANSWER_SLACK_MS + (long) (wish.costMs() * (1 + ANSWER_SLACK_SHARE));
        }
    }

    /** An open poll of a process that waits for a question. */
    private record Poll(String caller, Consumer<List<AdviceQuestionProto>> reply, long sinceMs) {}

    /**
     * Creates a broker without questions and answers.
     *
     * @param firstQuestionNumber the number of the first question; greater than the numbers of earlier leaders, so that
     *     a late answer to a question of theirs isn't taken for an answer to one of this broker
     * @param settledQuestions receives each question that was sent, once it is answered or has timed out; not one that
     *     its process did not receive
     * @param metrics counts the questions by their outcome
     */
    public AdviceBroker(long firstQuestionNumber, Consumer<SettledQuestion> settledQuestions, Metrics metrics) {
        this.nextQuestionNumber = firstQuestionNumber;
        this.settledQuestions = settledQuestions;
        this.metrics = metrics.declare(QUESTIONS_METRIC, Outcome.class);
    }

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
     * How long the ticket of a step on a worker remains valid.
     *
     * @param step the step's name
     * @param worker the id of the worker
     * @param nowMs the present time in milliseconds
     * @return the remaining time in milliseconds, 0 if there is no valid ticket
     */
    public long remainingMs(String step, String worker, long nowMs) {
        StepAdvice advice = steps.get(step);
        return advice == null ? 0 : advice.remainingMs(worker, nowMs);
    }

    /**
     * The measured fraction of workers that may run the steps of a queue.
     *
     * @param queue the queue's name
     * @return the fraction, greater than 0 and less than 1
     */
    public double allowedShare(String queue) {
        return allowedShares.of(queue);
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
     * Whether a question about a step was sent and is not answered.
     *
     * @param step the step's name
     * @return true until the answer or the timeout
     */
    public boolean isPending(String step) {
        return pendingQuestion(step).isPresent();
    }

    /**
     * Whether the pending question about a step is a background question.
     *
     * @param step the step's name
     * @return true if so; false without a pending question
     */
    public boolean isPendingInBackground(String step) {
        return pendingQuestion(step).filter(Question::isBackground).isPresent();
    }

    /**
     * The workers that the unanswered question about a step names.
     *
     * @param step the step's name
     * @return the ids of the workers; empty if no question is pending
     */
    public List<String> workersAsked(String step) {
        return pendingQuestion(step).map(question -> question.wish().workers()).orElseGet(List::of);
    }

    private Optional<Question> pendingQuestion(String step) {
        return Optional.ofNullable(steps.get(step)).map(advice -> inFlight.get(advice.latestQuestion));
    }

    /**
     * Replaces the questions that wait to be sent. A question about a step that has a pending one is ignored.
     *
     * @param wishes the questions of the latest plan, at most one for each step, each with at least one worker
     * @param nowMs the present time in milliseconds
     * @return the wishes about steps for which none was queued before
     */
    public List<QuestionWish> replaceQueue(List<QuestionWish> wishes, long nowMs) {
        Set<String> before = queued.stream().map(QuestionWish::step).collect(Collectors.toSet());
        queued.clear();
        wishes.stream().filter(wish -> !isPending(wish.step())).forEach(queued::add);
        queued.sort(Comparator.comparing(QuestionWish::rank));
        List<QuestionWish> added =
                queued.stream().filter(wish -> !before.remove(wish.step())).toList();
        before.forEach(_step -> metrics.count(QUESTIONS_METRIC, Outcome.DROPPED));
        dispatch(nowMs);
        return added;
    }

    /**
     * Accepts the results of a process, and its poll for the next question, which replaces its open one.
     *
     * @param caller the process that polls
     * @param results the results of its earlier questions
     * @param reply receives the next question, or an empty list when the poll times out
     * @param nowMs the present time in milliseconds
     * @return whether a question is no longer pending: it was settled, with or without an answer, or its process did not
     *     receive it
     */
    public boolean poll(
            String caller, List<AdviceResultProto> results, Consumer<List<AdviceQuestionProto>> reply, long nowMs) {
        callers.polled(caller, nowMs);
        boolean isSettled = false;
        for (AdviceResultProto result : results) {
            isSettled |= settle(result, nowMs);
        }
        isSettled |= releaseQuestionOf(caller);
        polls.removeIf(poll -> poll.caller().equals(caller));
        polls.add(new Poll(caller, reply, nowMs));
        dispatch(nowMs);
        return isSettled;
    }

    /** Releases a question that its process didn't receive: a process polls only when it has no question. */
    private boolean releaseQuestionOf(String caller) {
        Optional<Question> lost = inFlight.values().stream()
                .filter(question -> question.caller().equals(caller))
                .findFirst();
        lost.ifPresent(question -> {
            inFlight.remove(question.number());
            timedOut.put(question.number(), question);
            metrics.count(QUESTIONS_METRIC, Outcome.LOST);
        });
        return lost.isPresent();
    }

    private boolean settle(AdviceResultProto result, long nowMs) {
        Question inTime = inFlight.remove(result.getNumber());
        Question question = inTime == null ? timedOut.remove(result.getNumber()) : inTime;
        if (question == null) {
            return false;
        }
        if (inTime != null) {
            report(question, result, nowMs);
        }
        if (!result.getAnswered()) {
            if (inTime != null) {
                metrics.count(QUESTIONS_METRIC, Outcome.UNANSWERED);
                callers.failed(question.caller(), nowMs);
            }
            return inTime != null;
        }
        StepAdvice advice = steps.get(question.wish().step());
        boolean isLate = inTime == null || advice == null;
        metrics.count(QUESTIONS_METRIC, isLate ? Outcome.ANSWERED_LATE : Outcome.ANSWERED);
        callers.answered(
                question.caller(), nowMs - question.sentAtMs() - question.wish().costMs());
        if (advice != null) {
            measureShare(question.wish(), advice, result, nowMs);
            advice.update(question.wish().workers(), result, TICKET_MARGIN_MS, nowMs);
        }
        return advice != null;
    }

    private void measureShare(QuestionWish wish, StepAdvice advice, AdviceResultProto result, long nowMs) {
        Set<String> unknown = wish.workers().stream()
                .filter(worker -> advice.verdict(worker, nowMs) == Verdict.UNKNOWN)
                .collect(Collectors.toSet());
        long allowed = result.getAllowedList().stream()
                .filter(ticket -> unknown.contains(ticket.getWorker()))
                .count();
        allowedShares.add(wish.queue(), unknown.size(), (int) allowed);
    }

    /**
     * Handles timeouts: of questions without an answer, of open polls, and of processes that no longer poll.
     *
     * @param nowMs the present time in milliseconds
     * @return whether a question timed out, so that it has to be sent again
     */
    public boolean tick(long nowMs) {
        boolean hasTimeout = false;
        Iterator<Question> unanswered = inFlight.values().iterator();
        while (unanswered.hasNext()) {
            Question question = unanswered.next();
            if (question.timesOutAtMs() < nowMs) {
                unanswered.remove();
                timedOut.put(question.number(), question);
                report(question, AdviceResultProto.getDefaultInstance(), nowMs);
                metrics.count(QUESTIONS_METRIC, Outcome.TIMED_OUT);
                callers.failed(question.caller(), nowMs);
                hasTimeout = true;
            }
        }
        timedOut.values().removeIf(question -> question.timesOutAtMs() + LATE_ANSWER_MS < nowMs);
        closePolls(nowMs);
        callers.forgetSilent(nowMs);
        dispatch(nowMs);
        return hasTimeout;
    }

    private void report(Question question, AdviceResultProto result, long nowMs) {
        settledQuestions.accept(new SettledQuestion(
                question.wish().step(),
                question.wish().workers().size(),
                result.getAllowedCount(),
                result.getAnswered(),
                nowMs - question.sentAtMs() - result.getAgeMs()));
    }

    private void closePolls(long nowMs) {
        Iterator<Poll> open = polls.iterator();
        while (open.hasNext()) {
            Poll poll = open.next();
            if (poll.sinceMs() + POLL_TIMEOUT_MS < nowMs) {
                open.remove();
                poll.reply().accept(List.of());
            }
        }
    }

    private void dispatch(long nowMs) {
        Iterator<QuestionWish> next = queued.iterator();
        Optional<Poll> poll = bestPoll(nowMs);
        while (next.hasNext() && poll.isPresent()) {
            QuestionWish wish = next.next();
            if (maySend(wish)) {
                next.remove();
                send(wish, poll.get(), nowMs);
                poll = bestPoll(nowMs);
            }
        }
    }

    /** Selects the process whose answers came with the least delay; of equal ones, the one that polled first. */
    private Optional<Poll> bestPoll(long nowMs) {
        return polls.stream()
                .filter(poll -> !callers.isResting(poll.caller(), nowMs))
                .min(Comparator.comparingDouble(poll -> callers.lateMs(poll.caller())));
    }

    private boolean maySend(QuestionWish wish) {
        int processes = Math.max(1, callers.count());
        int reserved = processes == 1 ? 0 : (int) Math.ceil(processes * QUICK_QUESTION_SHARE);
        if (isSlow(wish) && count(Question::isSlow) >= processes - reserved) {
            return false;
        }
        long maxBackground = Math.max(1, (long) (processes * BACKGROUND_QUESTION_SHARE));
        return !wish.rank().isBackground() || count(Question::isBackground) < maxBackground;
    }

    private long count(Predicate<Question> condition) {
        return inFlight.values().stream().filter(condition).count();
    }

    private static boolean isSlow(QuestionWish wish) {
        return wish.costMs() > SLOW_QUESTION_MS;
    }

    private void send(QuestionWish wish, Poll poll, long nowMs) {
        Question question = new Question(wish, nextQuestionNumber++, poll.caller(), nowMs);
        inFlight.put(question.number(), question);
        steps.computeIfAbsent(wish.step(), _name -> new StepAdvice()).latestQuestion = question.number();
        polls.remove(poll);
        poll.reply()
                .accept(List.of(AdviceQuestionProto.newBuilder()
                        .setNumber(question.number())
                        .setStep(wish.step())
                        .addAllWorkers(wish.workers())
                        .build()));
    }

    /**
     * Removes workers from the questions that were not sent yet, and the questions that are about no other worker.
     *
     * @param isExcluded whether a worker, given by its id, gets no starts
     */
    public void excludeFromQueuedQuestions(Predicate<String> isExcluded) {
        queued.replaceAll(wish -> wish.without(isExcluded));
        queued.removeIf(wish -> wish.workers().isEmpty());
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
        queued.removeIf(wish -> wish.step().equals(step));
    }

    /**
     * Removes the advice on a worker whose incarnation was removed. An answer that is under way may be about it and is not
     * applied to the next incarnation.
     *
     * @param worker the id of the worker
     */
    public void forgetWorker(String worker) {
        steps.values().forEach(advice -> advice.forgetWorker(worker));
        inFlight.replaceAll((_number, question) -> question.without(worker));
        timedOut.replaceAll((_number, question) -> question.without(worker));
    }

    /**
     * The number of questions that wait for a process.
     *
     * @return the number
     */
    public int queuedQuestions() {
        return queued.size();
    }
}
