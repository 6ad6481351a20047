package org.lovagegrade.graph.advice;

import java.util.HashMap;
import java.util.Map;

/**
 * How well each process that asks the adviser has answered. A process whose questions failed rests for a while, and one
 * whose answers come late is used only if no better one is free.
 */
final class AdviceCallers {
    /** A process that hasn't polled for this long is removed. */
    private static final long SILENCE_TIMEOUT_MS = 5_000;
    /** The rest after a failed question; it doubles with each further one. */
    private static final long FIRST_REST_MS = 100;
    /** A longer rest would leave a recovered adviser unused for longer than a ticket lasts. */
    private static final long MAX_REST_MS = 1_600;

    private static final int MAX_DOUBLINGS = 4;
    private static final double WEIGHT_OF_LAST_ANSWER = 0.3;
    /** The lateness is multiplied by this at each poll, so that a process that has recovered is used again. */
    private static final double LATENESS_FACTOR_PER_POLL = 0.95;

    private final Map<String, Caller> callers = new HashMap<>();

    private static final class Caller {
        private long polledAtMs;
        private long restsUntilMs;
        private int failures;
        private double lateMs;
    }

    void polled(String name, long nowMs) {
        Caller caller = callers.computeIfAbsent(name, _name -> new Caller());
        caller.polledAtMs = nowMs;
        caller.lateMs *= LATENESS_FACTOR_PER_POLL;
    }

    void answered(String name, double lateMs) {
        Caller caller = callers.get(name);
        if (caller != null) {
            caller.failures = 0;
            caller.lateMs += WEIGHT_OF_LAST_ANSWER * (Math.max(0, lateMs) - caller.lateMs);
        }
    }

    /** Counts a question without an answer: the adviser or the process failed. */
    void failed(String name, long nowMs) {
        Caller caller = callers.get(name);
        if (caller != null) {
            long restMs = FIRST_REST_MS << Math.min(caller.failures, MAX_DOUBLINGS);
            caller.failures++;
            caller.restsUntilMs = nowMs + Math.min(restMs, MAX_REST_MS);
        }
    }

    boolean isResting(String name, long nowMs) {
        Caller caller = callers.get(name);
        return caller != null && nowMs < caller.restsUntilMs;
    }

    /** Returns the moving average by which answers exceeded their expected duration, in milliseconds. */
    double lateMs(String name) {
        Caller caller = callers.get(name);
        return caller == null ? 0 : caller.lateMs;
    }

    int count() {
        return callers.size();
    }

    void forgetSilent(long nowMs) {
        callers.values().removeIf(caller -> caller.polledAtMs + SILENCE_TIMEOUT_MS < nowMs);
    }
}
