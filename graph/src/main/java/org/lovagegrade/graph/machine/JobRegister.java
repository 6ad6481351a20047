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

/** The jobs that were accepted; those that are over are kept for a while. */
final class JobRegister {
    private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
    private final Map<String, JobRecord> active = new LinkedHashMap<>();
    private final Deque<JobRecord> ended = new ArrayDeque<>();
    private final long keepEndedMs;

    JobRegister(long keepEndedMs) {
        this.keepEndedMs = keepEndedMs;
    }

    Optional<JobRecord> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Finds the step of a task, if the job has such a task. */
    Optional<StepRecord> stepOf(TaskKey key) {
        return find(key.job()).filter(job -> job.hasStep(key)).map(job -> job.step(key.occurrence(), key.step()));
    }

    Collection<JobRecord> active() {
        return Collections.unmodifiableCollection(active.values());
    }

    void add(JobRecord job) {
        jobs.put(job.id(), job);
        if (job.isOver()) {
            ended.add(job);
        } else {
            active.put(job.id(), job);
        }
    }

    void end(JobRecord job, GraphStateProto state, long nowMs) {
        job.state = state;
        job.endedAtMs = nowMs;
        active.remove(job.id());
        ended.add(job);
    }

    void forgetOld(long nowMs) {
        while (!ended.isEmpty() && ended.peek().endedAtMs + keepEndedMs < nowMs) {
            JobRecord old = ended.poll();
            jobs.remove(old.id(), old);
        }
    }

    void writeTo(GraphSnapshotProto.Builder snapshot) {
        ended.forEach(job -> snapshot.addJobs(job.toProto()));
        active.values().forEach(job -> snapshot.addJobs(job.toProto()));
    }

    void restore(GraphSnapshotProto snapshot) {
        jobs.clear();
        active.clear();
        ended.clear();
        for (GraphJobProto job : snapshot.getJobsList()) {
            add(JobRecord.restore(job));
        }
    }
}
