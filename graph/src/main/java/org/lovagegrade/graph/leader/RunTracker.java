package org.lovagegrade.graph.leader;

import java.util.OptionalLong;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.planning.CapacityRelease;
import org.lovagegrade.wire.proto.RunEndProto;

/** Tracks the orders for one run, from its start until its end is proposed. */
final class RunTracker {
    /** The state of a run, as the leader sees it. */
    enum Phase {
        /** The start has yet to be sent, or its answer is awaited. */
        STARTING,
        /** The worker has confirmed the start. */
        CONFIRMED,
        /**
         * The run was taken over from the log, or the worker refused its start as outdated; the next listing shows
         * whether the run exists.
         */
        VERIFYING,
        /** The worker has confirmed a stop; the end has yet to be listed. */
        STOPPING,
        /** The end has been proposed to the log. */
        ENDING
    }

    private static final long NEVER_SEEN = -1;
    /** A run that its worker survived for longer is an unlikely cause of the worker's crash. */
    private static final long SOON_AFTER_START_MS = 100;

    /** Less progress gives no reliable speed. */
    private static final int MIN_PROGRESS_PERCENT = 10;
    /** A run that takes longer than expected is expected to go on for this fraction of its expected time. */
    private static final long OVERRUN_DIVISOR = 5;

    final RunRecord run;
    final String ticket;
    Phase phase;
    /** An order was sent and its outcome has not arrived yet. */
    boolean inFlight;
    /** A start went unanswered and may still begin the run. */
    boolean inDoubt;

    boolean stopRequested;
    /** The start was withdrawn, which counts once however often its stop is sent. */
    boolean withdrawn;
    /** A start was sent in this term, or may have been sent in an earlier one. */
    boolean orderSent;
    /** The incarnation that the order was meant for is known to have begun the run, rather than a later one. */
    boolean begunByAddressee;
    /** A copy of the start went unanswered, so that it may also reach a later incarnation until it is settled. */
    private boolean mayCopyArriveLate;
    /** When the last start was sent, on the monotonic clock in milliseconds. */
    long lastSentMs;
    /** What shows that the run is over, if it was not listed. */
    LossBasis lossBasis = LossBasis.NONE;

    long nextSendMs;
    /** When a start last went unanswered. */
    long lastFailureMs = NEVER_SEEN;
    /** Only a listing requested at this time or later reflects the current phase. */
    long listingValidFromMs;
    /** The latest checkpoint that the worker listed. */
    String checkpoint = "";
    /** Why a stop was requested. */
    WasteCause stopCause = WasteCause.NONE;
    /** The use of the run was accounted for. */
    boolean accounted;

    /** For how long the progress had not changed at the latest listing, in milliseconds. */
    long noProgressMs;

    /** When the worker first confirmed that the run exists there. */
    private long existsSinceMs = NEVER_SEEN;

    private final long createdMs;
    /** The run was started in an earlier term, so that its start time is unknown. */
    private final boolean takenOver;

    /** When a listing first showed the latest checkpoint. */
    private long checkpointSinceMs;

    /** The progress that was listed last and first, and when; -1 before any listing. */
    private int percent = -1;

    private long percentSinceMs;
    private int firstPercent = -1;
    private long firstPercentMs;

    RunTracker(RunRecord run, String ticket, Phase phase, long nowMs) {
        this.run = run;
        this.ticket = ticket;
        this.phase = phase;
        this.createdMs = nowMs;
        this.takenOver = phase == Phase.VERIFYING;
        this.percentSinceMs = nowMs;
        this.orderSent = phase == Phase.VERIFYING;
        if (run.isStartUnanswered()) {
            recordPossibleCopies(nowMs);
        }
    }

    /** Records that an earlier leader may have sent starts that went unanswered, the last one at the given time at the latest. */
    void recordPossibleCopies(long sentByMs) {
        mayCopyArriveLate = true;
        lastFailureMs = sentByMs;
    }

    /** Records that the worker has confirmed the run. */
    void recordExistence(long nowMs) {
        if (existsSinceMs == NEVER_SEEN) {
            existsSinceMs = nowMs;
        }
    }

    /** For how long the worker is known to have gone on with this run, in milliseconds, if it last answered then. */
    long survivedMs(long lastAnswerMs) {
        return existsSinceMs == NEVER_SEEN ? 0 : Math.max(0, lastAnswerMs - existsSinceMs);
    }

    /** Whether the run was taken over and its worker has not answered since, so that nothing is known about it. */
    boolean isUnseen() {
        return phase == Phase.VERIFYING && existsSinceMs == NEVER_SEEN;
    }

    /** Whether the run is known to have only just begun when its worker last answered. */
    boolean isSoonAfterStart(long lastAnswerMs) {
        return orderSent && !isUnseen() && survivedMs(lastAnswerMs) < SOON_AFTER_START_MS;
    }

    /** Whether a later incarnation of the worker may have accepted the start, as it has the same id. */
    boolean mayRunOnSuccessor() {
        return orderSent && (!begunByAddressee || mayCopyArriveLate);
    }

    /** Whether a copy of the start is known to have gone unanswered and may still be carried out, also by a later incarnation. */
    boolean mayBeginLate() {
        boolean isKnown = !takenOver || run.isStartUnanswered();
        return orderSent && mayCopyArriveLate && isKnown;
    }

    /** Records that a start went unanswered: it may begin the run at any time within the longest delay of an order. */
    void recordUnanswered() {
        inDoubt = true;
        mayCopyArriveLate = true;
    }

    /**
     * Records that the addressee was up at a time. Copies of the start that must have arrived by then have reached it, so that
     * no later incarnation gets them.
     *
     * @param upAtMs when the addressee was up
     * @param maxOrderDelayMs the longest delay of an order, in milliseconds
     */
    void settleCopies(long upAtMs, long maxOrderDelayMs) {
        if (upAtMs - lastFailureMs >= maxOrderDelayMs) {
            mayCopyArriveLate = false;
        }
    }

    /** Whether the task may have crashed a worker before. */
    boolean isOfSuspectTask() {
        return run.step().tasks().get(run.key().task().index()).crashHistory().isSuspect();
    }

    /** Records the checkpoint that a listing shows. */
    void recordCheckpoint(String listed, long nowMs) {
        if (!listed.isEmpty() && !listed.equals(checkpoint)) {
            checkpoint = listed;
            checkpointSinceMs = nowMs;
        }
    }

    /** For how long a run that has ended in this way existed under this leader, in milliseconds. */
    long usedMs(RunEndProto how, long nowMs) {
        boolean isExistenceProven = how != RunEndProto.RUN_REFUSED && how != RunEndProto.RUN_LOST;
        if (!takenOver && existsSinceMs != NEVER_SEEN) {
            return nowMs - existsSinceMs;
        }
        return isExistenceProven || existsSinceMs != NEVER_SEEN ? nowMs - createdMs : 0;
    }

    /** The part of the run's time, in milliseconds, that a run which resumes from the given checkpoint doesn't repeat. */
    long savedMs(String resumedFrom, long nowMs) {
        if (resumedFrom.isEmpty() || resumedFrom.equals(run.checkpoint())) {
            return 0;
        }
        long beganMs = takenOver || existsSinceMs == NEVER_SEEN ? createdMs : existsSinceMs;
        return resumedFrom.equals(checkpoint) ? Math.max(0, checkpointSinceMs - beganMs) : nowMs - beganMs;
    }

    /** Records the progress that a listing shows. */
    void recordProgress(int listedPercent, long nowMs) {
        if (listedPercent != percent) {
            percent = listedPercent;
            percentSinceMs = nowMs;
            if (firstPercent < 0) {
                firstPercent = listedPercent;
                firstPercentMs = nowMs;
            }
        }
        noProgressMs = nowMs - percentSinceMs;
    }

    /**
     * How long a run that did the whole work of its task has taken, in milliseconds; empty if it resumed from a checkpoint
     * or its start is not known.
     */
    OptionalLong wholeRunMs(long nowMs) {
        boolean isKnown =
                !takenOver && existsSinceMs != NEVER_SEEN && run.checkpoint().isEmpty();
        return isKnown ? OptionalLong.of(nowMs - existsSinceMs) : OptionalLong.empty();
    }

    /**
     * Predicts the end of the run by its listed progress, or else by its expected time.
     *
     * @param expectedMs the expected time of a whole run, in milliseconds, or {@link CapacityRelease#NEVER} or
     *     {@link CapacityRelease#UNKNOWN}
     * @param nowMs the present time, on the monotonic clock in milliseconds
     * @param stopMs how long a stop takes, in milliseconds
     * @return the expected end, not before {@code nowMs}, or one of these constants
     */
    long expectedEndMs(long expectedMs, long nowMs, long stopMs) {
        if (stopRequested) {
            return nowMs + stopMs;
        }
        if (expectedMs == CapacityRelease.NEVER) {
            return expectedMs;
        }
        int progress = percent - firstPercent;
        if (progress >= MIN_PROGRESS_PERCENT) {
            long perPercentMs = (percentSinceMs - firstPercentMs) / progress;
            return Math.max(nowMs, percentSinceMs + perPercentMs * (100 - percent));
        }
        if (expectedMs == CapacityRelease.UNKNOWN) {
            return expectedMs;
        }
        long sinceMs = existsSinceMs == NEVER_SEEN ? nowMs : existsSinceMs;
        return Math.max(sinceMs + expectedMs, nowMs + expectedMs / OVERRUN_DIVISOR);
    }
}
