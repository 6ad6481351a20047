package org.lovagegrade.graph.leader;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.overload.AdmissionControl;
import org.lovagegrade.overload.AdmissionDecision;
import org.lovagegrade.overload.Objective;
import org.lovagegrade.overload.RefusalReason;
import org.lovagegrade.overload.WorkItem;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.QueueProto;

/** Refuses submissions on the leader whose results would come too late to be useful. */
final class SubmissionGate {
    private static final String ADMISSION_REFUSALS = "lovagegrade_admission_refusals";
    /** A submission that arrives again this soon is a resend, and gets the same answer. */
    private static final long RESEND_MS = 1_000;
    /** Bounds the memory that refused jobs take; the oldest are forgotten first. */
    private static final int MAX_REMEMBERED_REFUSALS = 20_000;

    private final WorkAccount workAccount;
    private final Clock wallClock;
    private final Metrics metrics;
    /** The ids of jobs that were proposed to the log and are not answered yet. */
    private final Set<String> proposed = new HashSet<>();

    private final Map<String, Refusal> refusalsByJob = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Refusal> _eldest) {
            return size() > MAX_REMEMBERED_REFUSALS;
        }
    };

    /** The last refusal of a job, and when the job was submitted first. */
    private record Refusal(AdmissionDecision.Refused decision, long refusedAtMs, long firstSubmittedMs) {}

    SubmissionGate(WorkAccount workAccount, Clock wallClock, Metrics metrics) {
        this.workAccount = workAccount;
        this.wallClock = wallClock;
        this.metrics = metrics.declare(ADMISSION_REFUSALS, RefusalReason.class);
    }

    /**
     * Decides about a job that is not known yet. One that is being committed is not refused any more.
     *
     * @return the refusal, or empty if the job is to be proposed
     */
    Optional<AdmissionDecision.Refused> refusal(GraphProto graph, QueueProto queue) {
        if (proposed.contains(graph.getId())) {
            return Optional.empty();
        }
        long nowMs = wallClock.nowMs();
        Refusal former = refusalsByJob.get(graph.getId());
        if (former != null && nowMs - former.refusedAtMs() < RESEND_MS) {
            return Optional.of(former.decision());
        }
        long firstSubmittedMs = former == null ? nowMs : former.firstSubmittedMs();
        AdmissionDecision decision = AdmissionControl.decide(
                item(graph, queue, firstSubmittedMs, nowMs),
                workAccount.backlog(nowMs),
                workAccount.serviceRate(),
                nowMs);
        if (decision instanceof AdmissionDecision.Refused refused) {
            refusalsByJob.put(graph.getId(), new Refusal(refused, nowMs, firstSubmittedMs));
            report(graph, refused, nowMs);
            return Optional.of(refused);
        }
        refusalsByJob.remove(graph.getId());
        proposed.add(graph.getId());
        return Optional.empty();
    }

    /** The objective counts from the first submission while it can still be met in part, and from now after that. */
    private WorkItem item(GraphProto graph, QueueProto queue, long firstSubmittedMs, long nowMs) {
        WorkItem item = workAccount.submittedItem(graph, queue, firstSubmittedMs, nowMs);
        Objective objective = item.objective();
        boolean isUseless = nowMs + item.work().pathMs() > objective.dueAtMs() + objective.usefulMs();
        return isUseless ? workAccount.submittedItem(graph, queue, nowMs, nowMs) : item;
    }

    /** Notes that the proposal of a job was answered. */
    void answered(String job) {
        proposed.remove(job);
    }

    private void report(GraphProto graph, AdmissionDecision.Refused refused, long nowMs) {
        metrics.count(ADMISSION_REFUSALS, refused.reason());
        Log.event("submissionRefused")
                .with("job", graph.getId())
                .with("queue", graph.getQueue())
                .with("workspace", graph.getWorkspace())
                .with("reason", refused.reason().name())
                .with("retryAfterMs", refused.retryAfterMs())
                .with("coreMsAhead", refused.coreMsAhead())
                .with("waiting", workAccount.backlog(nowMs).size())
                .with("coreMsPerMs", workAccount.serviceRate().coreMsPerMs(nowMs))
                .info();
    }
}
