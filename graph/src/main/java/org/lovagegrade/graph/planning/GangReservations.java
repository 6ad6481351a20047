package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Holds workers for gangs that don't fit yet, from one plan to the next. A gang holds either enough workers for all of
 * its members or none, no two gangs hold the same worker, and each hold ends after a bounded time, after which the gang
 * may hold nothing for as long as it did. Held workers stay closed to work of a lower priority: estimates of callers are
 * too inexact to tell what would end before the gang starts.
 */
public final class GangReservations {
    /** A prediction may be wrong by as much as the predicted wait, and by at least this time. */
    private static final long MIN_OVERRUN_MS = 1_000;
    /** How long workers are held whose runs have no estimates. */
    private static final long UNKNOWN_WAIT_MS = 5_000;
    /** The time until the start of a gang that fits nowhere is predicted again. */
    private static final long RETRY_INTERVAL_MS = 500;

    private final Consumer<GangReservation> onReserved;
    private final Map<String, Period> periodsByStep = new HashMap<>();

    /** The time for which a gang holds workers, or must hold none if there is no reservation. */
    private record Period(Optional<GangReservation> reservation, long sinceMs, long untilMs) {}

    /**
     * Creates an empty set of reservations.
     *
     * @param onReserved is called with each new reservation
     */
    public GangReservations(Consumer<GangReservation> onReserved) {
        this.onReserved = onReserved;
    }

    /** Ends the reservation of a gang, since it is placed. */
    void release(String step) {
        periodsByStep.remove(step);
    }

    /** Whether a gang may hold nothing now, since its last hold was used up, or since it fits nowhere. */
    boolean isPaused(String step, long nowMs) {
        Period period = periodsByStep.get(step);
        return period != null && period.reservation.isEmpty() && nowMs < period.untilMs;
    }

    /** Removes the periods of gangs that no longer wait: those that ended more than their own length ago. */
    void removeExpired(long nowMs) {
        periodsByStep
                .values()
                .removeIf(period -> nowMs - period.untilMs > period.untilMs - period.sinceMs + RETRY_INTERVAL_MS);
    }

    /**
     * Holds workers for a gang that is not paused during the present plan.
     *
     * @param gang the gang
     * @param eligible the workers that may run it
     * @param nowMs the present time, on the monotonic clock in milliseconds
     * @return whether workers are held
     */
    boolean hold(GangRequest gang, List<CandidateWorker> eligible, long nowMs) {
        String step = gang.step().name();
        Period period = periodsByStep.get(step);
        if (period != null && nowMs >= period.untilMs) {
            periodsByStep.remove(step);
            boolean hasHeld = period.reservation.isPresent();
            if (hasHeld) {
                pause(step, nowMs, period.untilMs - period.sinceMs);
                return false;
            }
            period = null;
        }
        if (period != null && applyHolds(period.reservation.get(), gang, eligible)) {
            return true;
        }
        return reserve(gang, eligible, nowMs, period);
    }

    private void pause(String step, long nowMs, long durationMs) {
        periodsByStep.put(step, new Period(Optional.empty(), nowMs, nowMs + durationMs));
    }

    /** Sets the holds on the reserved workers, unless one of them is gone or held for another gang. */
    private boolean applyHolds(GangReservation reservation, GangRequest gang, List<CandidateWorker> eligible) {
        Map<String, CandidateWorker> workersById = eligible.stream()
                .filter(gang::maySelect)
                .filter(worker -> reservation.membersByWorker().containsKey(worker.id()))
                .collect(Collectors.toMap(CandidateWorker::id, Function.identity()));
        if (workersById.size() < reservation.membersByWorker().size()) {
            return false;
        }
        workersById.values().forEach(worker -> worker.holdFor(gang.priority()));
        return true;
    }

    /** Reserves workers; when a worker of an earlier reservation was lost, the bound of that one stays in force. */
    private boolean reserve(GangRequest gang, List<CandidateWorker> eligible, long nowMs, Period former) {
        String step = gang.step().name();
        Optional<GangReservation> reservation = GangStartPrediction.earliest(gang, eligible, nowMs);
        if (reservation.isEmpty()) {
            pause(step, nowMs, RETRY_INTERVAL_MS);
            return false;
        }
        long untilMs = former == null ? untilMs(reservation.get(), nowMs) : former.untilMs;
        periodsByStep.put(step, new Period(reservation, former == null ? nowMs : former.sinceMs, untilMs));
        onReserved.accept(reservation.get());
        return applyHolds(reservation.get(), gang, eligible);
    }

    private static long untilMs(GangReservation reservation, long nowMs) {
        if (reservation.startMs() == CapacityRelease.UNKNOWN) {
            return nowMs + UNKNOWN_WAIT_MS;
        }
        return reservation.startMs() + Math.max(MIN_OVERRUN_MS, reservation.startMs() - nowMs);
    }
}
