package org.lovagegrade.state.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.core.Worker;

/** The workers that have sent a heartbeat to this leader. */
final class WorkerRegistry {
    /** How long after its last contact a worker counts as unresponsive and gets no new attempts, in milliseconds. */
    static final long UNRESPONSIVE_AFTER_MS = 3_500;

    /** How long after its last contact a worker is removed from the registry, in milliseconds. */
    private static final long REMOVE_AFTER_MS = 3_600_000;

    /**
     * A process that was heard within this time goes on reporting itself if it is up, in milliseconds. A process that
     * reports itself under the same id meanwhile has not proved to be its successor.
     */
    static final long SUCCESSION_SILENCE_MS = 2_000;

    private final Map<String, LastHeartbeat> workers = new HashMap<>();
    private final long startedAtMs;

    /** Creates a registry that was started at the given time; workers may have been heard until then. */
    WorkerRegistry(long startedAtMs) {
        this.startedAtMs = startedAtMs;
    }

    /** The last heartbeat of a worker, and whether it is unresponsive since. */
    private record LastHeartbeat(Worker spec, String bootId, long lastContactMs, boolean unresponsive) {}

    /** What a heartbeat means to the scheduler. */
    enum HeartbeatKind {
        /** The same process as before, responsive and unchanged. */
        UNCHANGED,
        /** The worker was unknown or unresponsive, or has changed; by its assigned attempts it is the same process. */
        UPDATED,
        /** A new process, which runs none of the attempts assigned to the worker. */
        RESTARTED,
        /** A process that claims to succeed one that was heard just now, by mistake or in another writer's words. */
        UNPROVEN,
        /** A delayed heartbeat of a process that has been replaced since. */
        STALE
    }

    /** Boot ids begin with the start time, so a process that started later has the greater id. */
    HeartbeatKind recordHeartbeat(Worker spec, String bootId, boolean holdsAttemptsOfOtherBoot, long nowMs) {
        LastHeartbeat current = workers.get(spec.id());
        if (current != null && current.bootId().compareTo(bootId) > 0) {
            return HeartbeatKind.STALE;
        }
        boolean isRestarted = holdsAttemptsOfOtherBoot
                || (current != null && !current.bootId().equals(bootId));
        if (isRestarted && nowMs - lastContactMs(current) < SUCCESSION_SILENCE_MS) {
            return HeartbeatKind.UNPROVEN;
        }
        LastHeartbeat previous = workers.put(spec.id(), new LastHeartbeat(spec, bootId, nowMs, false));
        if (isRestarted) {
            return HeartbeatKind.RESTARTED;
        }
        boolean isUnchanged =
                previous != null && !previous.unresponsive() && previous.spec().equals(spec);
        return isUnchanged ? HeartbeatKind.UNCHANGED : HeartbeatKind.UPDATED;
    }

    private long lastContactMs(LastHeartbeat last) {
        return last == null ? startedAtMs : last.lastContactMs();
    }

    Optional<String> bootId(String worker) {
        return Optional.ofNullable(workers.get(worker)).map(LastHeartbeat::bootId);
    }

    /** Marks the workers that have just become unresponsive and returns their ids, sorted. */
    List<String> takeNewlyUnresponsive(long nowMs) {
        List<String> unresponsive = new ArrayList<>();
        workers.replaceAll((id, last) -> {
            if (last.unresponsive() || nowMs - last.lastContactMs() <= UNRESPONSIVE_AFTER_MS) {
                return last;
            }
            unresponsive.add(id);
            return new LastHeartbeat(last.spec(), last.bootId(), last.lastContactMs(), true);
        });
        workers.values().removeIf(last -> nowMs - last.lastContactMs() > REMOVE_AFTER_MS);
        unresponsive.sort(null);
        return unresponsive;
    }
}
