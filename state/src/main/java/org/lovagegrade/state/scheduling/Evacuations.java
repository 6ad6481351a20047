package org.lovagegrade.state.scheduling;

import java.util.List;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Scheduler;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.EvacuationProto;

/** Puts committed evacuations in force on the leader, and tells which failure domains exist. */
public final class Evacuations {
    /**
     * How long after its start a leader has heard from every worker that will be heard, in milliseconds: workers send
     * heartbeats every second, and count as unresponsive after this time.
     */
    private static final long WORKERS_KNOWN_AFTER_MS = WorkerRegistry.UNRESPONSIVE_AFTER_MS;

    private final StateMachine machine;
    private final Scheduler scheduler;
    private final HeartbeatResponder responder;
    private final long leaderSinceMs;

    /** What the leader knows about the name of a failure domain. */
    public enum Knowledge {
        /** A worker or an entry has it, or it was evacuated before. */
        KNOWN,
        /** No worker and no entry has it. */
        UNKNOWN,
        /** No worker or entry with it is known, but workers may not have contacted this leader yet. */
        NOT_YET_KNOWN
    }

    Evacuations(StateMachine machine, Scheduler scheduler, HeartbeatResponder responder, long nowMs) {
        this.machine = machine;
        this.scheduler = scheduler;
        this.responder = responder;
        this.leaderSinceMs = nowMs;
    }

    /**
     * Looks for a failure domain among workers, entries and earlier evacuations.
     *
     * @param failureDomain the name
     * @param nowMs the current monotonic time in milliseconds
     * @return what is known about it
     */
    public Knowledge knowledgeOf(String failureDomain, long nowMs) {
        boolean isKnown = machine.configView().getEvacuationsList().stream()
                        .anyMatch(evacuation -> evacuation.getFailureDomain().equals(failureDomain))
                || machine.entries().values().stream()
                        .anyMatch(entry -> entry.getFailureDomain().equals(failureDomain))
                || !workersOf(failureDomain).isEmpty();
        if (isKnown) {
            return Knowledge.KNOWN;
        }
        return nowMs - leaderSinceMs < WORKERS_KNOWN_AFTER_MS ? Knowledge.NOT_YET_KNOWN : Knowledge.UNKNOWN;
    }

    /** Puts the evacuations of the committed state in force when this leader takes over. */
    void restore(long nowMs) {
        for (EvacuationProto evacuation : machine.configView().getEvacuationsList()) {
            if (evacuation.getActive()) {
                scheduler.apply(nowMs, new Event.EvacuationSet(evacuation.getFailureDomain(), true));
            }
        }
    }

    /** Puts an order in force that has just been applied. Attempts that were not sent to their workers yet are withdrawn. */
    void applied(EvacuationProto evacuation, long nowMs) {
        String failureDomain = evacuation.getFailureDomain();
        scheduler.apply(nowMs, new Event.EvacuationSet(failureDomain, evacuation.getActive()));
        List<String> workers = workersOf(failureDomain);
        int withdrawn = evacuation.getActive() ? withdrawUnsent(workers, nowMs) : 0;
        Log.event("evacuationApplied")
                .with("domain", failureDomain)
                .with("active", evacuation.getActive())
                .with("workers", workers.size())
                .with("withdrawn", withdrawn)
                .info();
    }

    private int withdrawUnsent(List<String> workers, long nowMs) {
        int withdrawn = 0;
        for (String worker : workers) {
            for (Attempt attempt : responder.unsentTo(worker)) {
                scheduler.apply(nowMs, new Event.AttemptStopped(attempt));
                withdrawn++;
            }
        }
        return withdrawn;
    }

    private List<String> workersOf(String failureDomain) {
        return scheduler.view().workersOf(failureDomain);
    }
}
