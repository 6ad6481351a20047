package org.lovagegrade.overload;

/**
 * Decides whether new work is accepted: it is refused only if its result would come too late to be useful.
 *
 * <p>Example: {@code AdmissionDecision decision = AdmissionControl.decide(item, backlog, rate, nowMs);}
 */
public final class AdmissionControl {
    private static final long MIN_RETRY_MS = 1_000;
    private static final long MAX_RETRY_MS = 60_000;
    /** The time to retry is longer by up to this fraction, so that callers refused together don't return together. */
    private static final double RETRY_SPREAD = 0.5;

    private static final int SPREAD_STEPS = 1_024;

    private AdmissionControl() {}

    /** How long an item waits for the work ahead of it, by the limit that delays it. */
    private record Wait(RefusalReason cause, long coreMsAhead, double waitMs) {
        Wait orLonger(Wait other) {
            return other.waitMs > waitMs ? other : this;
        }
    }

    /**
     * Decides about an item.
     *
     * @param item the item, which is not part of the backlog
     * @param backlog the work that waits
     * @param rate the rate at which work leaves
     * @param nowMs the present time, in milliseconds since 1970
     * @return accepted, also if no worker is known yet or the result would be useless even without a wait; otherwise
     *     refused
     */
    public static AdmissionDecision decide(WorkItem item, Backlog backlog, ServiceRate rate, long nowMs) {
        boolean isUsefulAtOnce =
                nowMs + item.work().pathMs() <= item.objective().usefulUntilMs();
        if (rate.coreMsPerMs(nowMs) <= 0 || !isUsefulAtOnce) {
            return accepted(item, 0, nowMs);
        }
        Wait inTime = waitInTime(item, backlog, rate, nowMs);
        if (Outcome.of(item.objective(), endMs(item, inTime, nowMs)) == Outcome.IN_TIME) {
            return accepted(item, inTime.waitMs(), nowMs);
        }
        Wait late = waitLate(item, backlog, rate, nowMs).orLonger(inTime);
        long overrunMs = endMs(item, late, nowMs) - item.objective().usefulUntilMs();
        return overrunMs <= 0
                ? accepted(item, late.waitMs(), nowMs)
                : new AdmissionDecision.Refused(late.cause(), retryAfterMs(item.id(), overrunMs), late.coreMsAhead());
    }

    /** The wait of an item that stays in time: work of higher priority that arrives meanwhile goes before it. */
    private static Wait waitInTime(WorkItem item, Backlog backlog, ServiceRate rate, long nowMs) {
        return fleetWait(
                        item,
                        backlog.fleet().inTimeAhead(item, nowMs),
                        rate,
                        rate.arrivalsBefore(item.priority(), nowMs),
                        nowMs)
                .orLonger(workspaceWait(
                        item, backlog, backlog.ofWorkspace(item.workspace()).inTimeAhead(item, nowMs)));
    }

    /** The wait of a late item: all work that arrives meanwhile is in time at first and goes before it. */
    private static Wait waitLate(WorkItem item, Backlog backlog, ServiceRate rate, long nowMs) {
        return fleetWait(item, backlog.fleet().usefulAhead(item, nowMs), rate, rate.arrivals(nowMs), nowMs)
                .orLonger(workspaceWait(
                        item, backlog, backlog.ofWorkspace(item.workspace()).usefulAhead(item, nowMs)));
    }

    private static Wait fleetWait(
            WorkItem item, long waitingCoreMs, ServiceRate rate, ServiceRate.ExpectedArrivals arrivals, long nowMs) {
        // All members of a gang need their capacity at the same time.
        long coreMsAhead = waitingCoreMs
                + (waitingCoreMs > 0 && item.work().gang() ? item.work().coreMs() : 0);
        return new Wait(RefusalReason.FLEET_FULL, coreMsAhead, drainMs(coreMsAhead, rate.coreMsPerMs(nowMs), arrivals));
    }

    private static Wait workspaceWait(WorkItem item, Backlog backlog, long coreMsAhead) {
        double limitCores = backlog.limitCores(item.workspace());
        return new Wait(RefusalReason.WORKSPACE_FULL, coreMsAhead, limitCores > 0 ? coreMsAhead / limitCores : 0);
    }

    /** How long it takes until the work has left while other work arrives, during a burst and after it. */
    private static double drainMs(long coreMs, double ratePerMs, ServiceRate.ExpectedArrivals arrivals) {
        if (coreMs == 0) {
            return 0;
        }
        double burstDrain = ratePerMs - arrivals.burst();
        if (coreMs <= burstDrain * ServiceRate.BURST_MS) {
            return coreMs / burstDrain;
        }
        double leftCoreMs = coreMs - burstDrain * ServiceRate.BURST_MS;
        return ServiceRate.BURST_MS + leftCoreMs / (ratePerMs - arrivals.longRun());
    }

    private static AdmissionDecision accepted(WorkItem item, double waitMs, long nowMs) {
        long startMs = nowMs + Math.round(waitMs);
        return new AdmissionDecision.Accepted(startMs, startMs + item.work().pathMs());
    }

    private static long endMs(WorkItem item, Wait wait, long nowMs) {
        return nowMs + Math.round(wait.waitMs()) + item.work().pathMs();
    }

    /** The time until the excess work ahead has left, spread by a hash of the item's id so that callers don't return together. */
    private static long retryAfterMs(String id, long overrunMs) {
        int hash = id.hashCode();
        int mixed = hash ^ (hash >>> 16) ^ (hash >>> 8);
        double spread = RETRY_SPREAD * Math.floorMod(mixed, SPREAD_STEPS) / SPREAD_STEPS;
        long boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, overrunMs));
        return Math.round(boundedMs * (1 + spread));
    }
}
