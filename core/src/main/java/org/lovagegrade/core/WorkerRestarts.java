package org.lovagegrade.core;

/**
 * How often workers restarted one after the other under the attempts of one task. A task that may be the cause runs on
 * a worker of its own job, and is given up in the end.
 *
 * @param count the number of restarts since an attempt last ran for long
 */
public record WorkerRestarts(int count) {
    /** No restarts. */
    public static final WorkerRestarts NONE = new WorkerRestarts(0);

    private static final int MIN_OF_SUSPECT = 2;
    private static final int MAX_COUNT = 5;
    /** An attempt that lasted this long was not what restarted the workers before it. */
    private static final long HARMLESS_AFTER_MS = 60_000;

    /**
     * Adds a restart.
     *
     * @param lastedMs for how long the attempt had been placed, in milliseconds
     * @return the restarts with this one
     */
    public WorkerRestarts plus(long lastedMs) {
        return new WorkerRestarts((lastedMs >= HARMLESS_AFTER_MS ? 0 : count) + 1);
    }

    /**
     * Whether the task may be the cause.
     *
     * @return true if it must not share a worker with other jobs
     */
    public boolean isSuspect() {
        return count >= MIN_OF_SUSPECT;
    }

    /**
     * Whether the task must not be started any more.
     *
     * @return true if it lost more workers than chance explains
     */
    public boolean mustBeGivenUp() {
        return count >= MAX_COUNT;
    }
}
