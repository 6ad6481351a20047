package org.lovagegrade.replay.internal;

import org.lovagegrade.core.Attempt;

/** An attempt that is placed on a worker in the replay and has not ended. */
final class LiveAttempt {
    final Attempt attempt;
    final ReplayedJob job;
    final long placedAtMs;
    final long startsAtMs;
    final long leaseMs;
    boolean preempted;

    LiveAttempt(Attempt attempt, ReplayedJob job, long placedAtMs, long startsAtMs, long leaseMs) {
        this.attempt = attempt;
        this.job = job;
        this.placedAtMs = placedAtMs;
        this.startsAtMs = startsAtMs;
        this.leaseMs = leaseMs;
    }
}
