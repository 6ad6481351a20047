package org.lovagegrade.graph.machine;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.GraphJobProto;
import org.lovagegrade.wire.proto.GraphSnapshotProto;
import org.lovagegrade.wire.proto.GraphStateProto;

/** The accepted jobs; finished ones are kept for a retention time, so that their state can be looked up. */
final class JobRegistry {
    private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
    private final Map<String, JobRecord> active = new LinkedHashMap<>();
    private final Deque<JobRecord> finished = new ArrayDeque<>();
    private final long retentionMs;

    JobRegistry(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    Optional<JobRecord> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Finds the step of a task, if there is such a task. */
    Optional<StepRecord> stepOf(TaskKey key) {
        return find(key.job()).filter(job -> job.hasTask(key)).map(job -> job.step(key.occurrence(), key.step()));
    }

    Collection<JobRecord> active() {
        return Collections.unmodifiableCollection(active.values());
    }

    void add(JobRecord job) {
        jobs.put(job.id(), job);
        if (job.isFinished()) {
            finished.add(job);
        } else {
            active.put(job.id(), job);
        }
    }

    void finish(JobRecord job, GraphStateProto state, long nowMs) {
        job.state = state;
        job.finishedAtMs = nowMs;
        active.remove(job.id());
        finished.add(job);
    }

    void removeExpired(long nowMs) {
        while (!finished.isEmpty() && finished.peek().finishedAtMs + retentionMs < nowMs) {
            JobRecord expired = finished.poll();
            jobs.remove(expired.id(), expired);
        }
    }

    void writeTo(GraphSnapshotProto.Builder snapshot) {
        finished.forEach(job -> snapshot.addJobs(job.toProto()));
        active.values().forEach(job -> snapshot.addJobs(job.toProto()));
    }

    void restore(GraphSnapshotProto snapshot) {
        jobs.clear();
        active.clear();
        finished.clear();
        for (GraphJobProto job : snapshot.getJobsList()) {
            add(JobRecord.restore(job));
        }
    }
}
