package org.lovagegrade.graph.machine;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.GraphSnapshotProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.WorkerCursorProto;

/** The workers, and the runs with the resources that they hold on workers and count towards workspaces. */
final class RunRegistry {
    private final Map<RunKey, RunRecord> runs = new LinkedHashMap<>();
    private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
    private final Map<String, ResourceVector> usedByWorkspace = new TreeMap<>();

    Map<RunKey, RunRecord> runs() {
        return Collections.unmodifiableMap(runs);
    }

    Map<String, WorkerRecord> workers() {
        return Collections.unmodifiableMap(workers);
    }

    /** Finds a worker, if its present incarnation is the given one. */
    Optional<WorkerRecord> worker(String id, long bornMs) {
        return Optional.ofNullable(workers.get(id)).filter(worker -> worker.info.getBornMs() == bornMs);
    }

    ResourceVector usedBy(String workspace) {
        return usedByWorkspace.getOrDefault(workspace, ResourceVector.NONE);
    }

    void addWorker(WorkerRecord worker) {
        workers.put(worker.info.getId(), worker);
    }

    void removeWorker(WorkerRecord worker) {
        workers.remove(worker.info.getId(), worker);
    }

    void addRun(RunRecord run) {
        runs.put(run.key(), run);
        run.step().runs.put(run.key(), run);
        workers.get(run.worker()).addRun(run);
        usedByWorkspace.merge(workspaceOf(run), run.step().perTask(), ResourceVector::plus);
    }

    void removeRun(RunRecord run) {
        runs.remove(run.key());
        run.step().runs.remove(run.key());
        WorkerRecord worker = workers.get(run.worker());
        if (worker != null) {
            worker.removeRun(run);
        }
        usedByWorkspace.computeIfPresent(
                workspaceOf(run), (_name, used) -> used.minus(run.step().perTask()));
    }

    /** Replaces a run by the same one with other marks. */
    void replaceRun(RunRecord run) {
        runs.replace(run.key(), run);
        run.step().runs.replace(run.key(), run);
        WorkerRecord worker = workers.get(run.worker());
        if (worker != null) {
            worker.runs().replace(run.key(), run);
        }
    }

    private static String workspaceOf(RunRecord run) {
        return run.step().job().graph().getWorkspace();
    }

    void writeTo(GraphSnapshotProto.Builder snapshot) {
        workers.values()
                .forEach(worker -> snapshot.addWorkers(
                        WorkerCursorProto.newBuilder().setWorker(worker.info).setCursor(worker.cursor)));
        runs.values().forEach(run -> snapshot.addRuns(run.toProto()));
    }

    void restore(GraphSnapshotProto snapshot, JobRegistry jobs) {
        runs.clear();
        workers.clear();
        usedByWorkspace.clear();
        for (WorkerCursorProto worker : snapshot.getWorkersList()) {
            WorkerRecord restored = new WorkerRecord(worker.getWorker());
            restored.cursor = worker.getCursor();
            addWorker(restored);
        }
        for (StartProto start : snapshot.getRunsList()) {
            jobs.stepOf(TaskKey.of(start.getTask())).ifPresent(step -> addRun(RunRecord.of(start, step)));
        }
    }
}
