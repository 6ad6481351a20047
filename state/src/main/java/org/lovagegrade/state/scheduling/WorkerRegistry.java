package org.lovagegrade.state.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.core.Worker;

/** The workers that this leader has heard, by their announcements alone. */
final class WorkerRegistry {
    /** How long a worker may be silent before it gets no new attempts, in milliseconds. */
    static final long SILENT_AFTER_MS = 3_500;

    /** How long a worker that holds nothing is remembered, in milliseconds. */
    private static final long FORGET_AFTER_MS = 3_600_000;

    private final Map<String, Known> workers = new HashMap<>();

    /** What is known of one worker. */
    private record Known(Worker spec, String bootId, long heardMs, boolean silent) {}

    /** What a heartbeat means for the scheduler. */
    enum Hearing {
        /** Heard before, the same process, no change. */
        KNOWN,
        /** Silent or unknown before, the same process as far as the attempts that it holds tell. */
        HEARD_AGAIN,
        /** A new process, which holds no attempts. */
        RESTARTED,
        /** The word of a process that has been replaced since. */
        STALE
    }

    /** Boot ids begin with the time of the start, so that a later process has the greater id. */
    Hearing heard(Worker spec, String bootId, boolean holdsAttemptsOfOtherBoot, long nowMs) {
        Known present = workers.get(spec.id());
        if (present != null && present.bootId().compareTo(bootId) > 0) {
            return Hearing.STALE;
        }
        Known former = workers.put(spec.id(), new Known(spec, bootId, nowMs, false));
        boolean restarted =
                holdsAttemptsOfOtherBoot || (former != null && !former.bootId().equals(bootId));
        if (restarted) {
            return Hearing.RESTARTED;
        }
        boolean unchanged = former != null && !former.silent() && former.spec().equals(spec);
        return unchanged ? Hearing.KNOWN : Hearing.HEARD_AGAIN;
    }

    Optional<String> bootId(String worker) {
        return Optional.ofNullable(workers.get(worker)).map(Known::bootId);
    }

    /** Marks and returns the workers that have just been silent for too long. */
    List<String> takeNewlySilent(long nowMs) {
        List<String> silent = new ArrayList<>();
        workers.replaceAll((id, known) -> {
            if (known.silent() || nowMs - known.heardMs() <= SILENT_AFTER_MS) {
                return known;
            }
            silent.add(id);
            return new Known(known.spec(), known.bootId(), known.heardMs(), true);
        });
        workers.values().removeIf(known -> nowMs - known.heardMs() > FORGET_AFTER_MS);
        silent.sort(null);
        return silent;
    }
}
