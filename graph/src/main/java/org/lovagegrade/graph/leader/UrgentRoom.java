package org.lovagegrade.graph.leader;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.planning.CandidateWorker;
import org.lovagegrade.graph.planning.Headroom;
import org.lovagegrade.graph.planning.KeptRoom;
import org.lovagegrade.graph.planning.Placement;
import org.lovagegrade.graph.planning.RunTimes;
import org.lovagegrade.graph.planning.Urgency;
import org.lovagegrade.wire.proto.QueueProto;

/** Follows the arrivals and runs of the queues with the lowest priority number, if there are others. */
final class UrgentRoom {
    private final GraphStateMachine machine;
    private final RunTimes runTimes;
    private final Headroom headroom;
    private final Set<RunKey> urgentRuns = new HashSet<>();
    private OptionalInt urgentPriority = OptionalInt.empty();

    UrgentRoom(GraphStateMachine machine, RunTimes runTimes, long nowMs) {
        this.machine = machine;
        this.runTimes = runTimes;
        this.headroom = new Headroom(nowMs);
        configurationChanged();
    }

    void configurationChanged() {
        List<QueueProto> queues = machine.configuration()
                .map(configuration -> configuration.proto().getQueuesList())
                .orElseGet(List::of);
        OptionalInt lowest = queues.stream().mapToInt(QueueProto::getPriority).min();
        boolean hasOthers = queues.stream().anyMatch(queue -> queue.getPriority() > lowest.getAsInt());
        urgentPriority = hasOthers ? lowest : OptionalInt.empty();
        urgentRuns.clear();
        machine.runs().values().forEach(this::runStarted);
    }

    private Optional<QueueProto> urgentQueueOf(JobRecord job) {
        return machine.queue(job.graph().getQueue())
                .filter(queue -> urgentPriority.isPresent() && queue.getPriority() <= urgentPriority.getAsInt());
    }

    void jobAccepted(JobRecord job, long nowMs) {
        urgentQueueOf(job).ifPresent(queue -> {
            long dueAtMs = job.dueAtMs(0);
            long slackMs = (long) Urgency.slackMs(job, 0, queue, dueAtMs, dueAtMs);
            for (StepRecord step : job.occurrences().get(0)) {
                headroom.stepArrived(step, runTimes.expectedMs(step), slackMs, nowMs);
            }
        });
    }

    void runStarted(RunRecord run) {
        if (urgentQueueOf(run.step().job()).isPresent()) {
            urgentRuns.add(run.key());
        }
    }

    void runEnded(RunRecord run) {
        urgentRuns.remove(run.key());
    }

    /** Returns the room to keep beside the runs and the proposed starts of these queues. */
    KeptRoom room(Collection<Placement> proposedStarts, List<CandidateWorker> workers, long nowMs) {
        if (urgentPriority.isEmpty()) {
            return KeptRoom.NONE;
        }
        long starting = proposedStarts.stream()
                .filter(placement -> urgentQueueOf(placement.step().job()).isPresent())
                .count();
        long milliCores = workers.stream()
                .mapToLong(worker -> worker.info().getCapacity().getMilliCores())
                .sum();
        return headroom.room(urgentPriority.getAsInt(), (int) (urgentRuns.size() + starting), milliCores, nowMs);
    }
}
