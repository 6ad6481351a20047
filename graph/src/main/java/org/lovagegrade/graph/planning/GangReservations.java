package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lovagegrade.graph.machine.ResourceVector;

/**
 * Holds workers for gangs that don't fit yet, from one plan to the next. A gang holds either enough workers for all of
 * its members or none, no two gangs hold the same worker, and each hold ends after a bounded time, after which the gang
 * may hold nothing for as long as it did. Until a gang is expected to start, other work may use its workers if it ends
 * before.
 */
public final class GangReservations {
    /** A prediction may be wrong by as much as the predicted wait, and by at least this time. */
    private static final long MIN_OVERRUN_MS = 1_000;
    /** How long workers are held whose runs have no estimates. */
    private static final long UNKNOWN_WAIT_MS = 5_000;
    /** The time until the start of a gang that fits nowhere is predicted again. */
    private static final long RETRY_INTERVAL_MS = 500;

    private final Consumer<GangReservation> onReserved;
    private final Map<String, Held> heldByStep = new HashMap<>();

    /** A reservation with its bounds, or a pause without one. */
    private record Held(Optional<GangReservation> reservation, long sinceMs, long untilMs) {}

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
        heldByStep.remove(step);
    }

    /** Whether a gang may hold nothing now, since it did for long, or since it fits nowhere. */
    boolean isPaused(String step, long nowMs) {
        Held held = heldByStep.get(step);
        return held != null && held.reservation.isEmpty() && nowMs < held.untilMs;
    }

    /** Drops what has ended long ago; such gangs are no longer waiting. */
    void removeExpired(long nowMs) {
        heldByStep.values().removeIf(held -> nowMs - held.untilMs > held.untilMs - held.sinceMs + RETRY_INTERVAL_MS);
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
        Held held = heldByStep.get(step);
        if (held != null && nowMs >= held.untilMs) {
            heldByStep.remove(step);
            boolean hasHeld = held.reservation.isPresent();
            if (hasHeld) {
                pause(step, nowMs, held.untilMs - held.sinceMs);
                return false;
            }
            held = null;
        }
        if (held != null && holdAgain(held.reservation.get(), gang, eligible)) {
            return true;
        }
        return holdAnew(gang, eligible, nowMs, held);
    }

    private void pause(String step, long nowMs, long durationMs) {
        heldByStep.put(step, new Held(Optional.empty(), nowMs, nowMs + durationMs));
    }

    private boolean holdAgain(GangReservation reservation, GangRequest gang, List<CandidateWorker> eligible) {
        Map<String, CandidateWorker> workersById = eligible.stream()
                .filter(gang::maySelect)
                .filter(worker -> reservation.membersByWorker().containsKey(worker.id()))
                .collect(Collectors.toMap(CandidateWorker::id, Function.identity()));
        if (workersById.size() < reservation.membersByWorker().size()) {
            return false;
        }
        reservation
                .membersByWorker()
                .forEach((id, members) ->
                        workersById.get(id).setHold(holdOn(workersById.get(id), members, reservation, gang)));
        return true;
    }

    /**
     * Reserves workers, but not if the gang waits for something other than capacity, such as room that is kept for urgent
     * tasks. When a worker of an earlier reservation was lost, the bound of that one stays in force.
     */
    private boolean holdAnew(GangRequest gang, List<CandidateWorker> eligible, long nowMs, Held former) {
        String step = gang.step().name();
        Optional<GangReservation> reservation = GangStartPrediction.earliest(gang, eligible, nowMs);
        boolean isCapacityFree =
                reservation.map(found -> found.startMs() <= nowMs).orElse(false);
        if (reservation.isEmpty() || isCapacityFree) {
            pause(step, nowMs, RETRY_INTERVAL_MS);
            return false;
        }
        long untilMs = former == null ? untilMs(reservation.get(), nowMs) : former.untilMs;
        heldByStep.put(step, new Held(reservation, former == null ? nowMs : former.sinceMs, untilMs));
        onReserved.accept(reservation.get());
        return holdAgain(reservation.get(), gang, eligible);
    }

    private static long untilMs(GangReservation reservation, long nowMs) {
        if (reservation.startMs() == CapacityRelease.UNKNOWN) {
            return nowMs + UNKNOWN_WAIT_MS;
        }
        return reservation.startMs() + Math.max(MIN_OVERRUN_MS, reservation.startMs() - nowMs);
    }

    /** Nothing may run beside a gang whose start is unknown, or whose members may crash their workers. */
    private static CapacityHold holdOn(
            CandidateWorker worker, int members, GangReservation reservation, GangRequest gang) {
        if (reservation.startMs() == CapacityRelease.UNKNOWN) {
            return new CapacityHold(gang.priority(), 0, ResourceVector.NONE);
        }
        ResourceVector leftOver = gang.needsEmptyWorkers()
                ? ResourceVector.NONE
                : worker.freeAt(reservation.startMs()).minus(gang.perTask().times(members));
        return new CapacityHold(gang.priority(), reservation.startMs(), leftOver);
    }
}
