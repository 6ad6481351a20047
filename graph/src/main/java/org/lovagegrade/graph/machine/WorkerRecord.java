package org.lovagegrade.graph.machine;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagegrade.wire.proto.WorkerProto;

/** One incarnation of a worker, as committed to the log. */
public final class WorkerRecord {
    private final Map<RunKey, RunRecord> runs = new LinkedHashMap<>();
    WorkerProto info;
    long cursor;
    ResourceVector used = ResourceVector.NONE;

    WorkerRecord(WorkerProto info) {
        this.info = info;
    }

    /**
     * The worker's description of itself.
     *
     * @return the message
     */
    public WorkerProto info() {
        return info;
    }

    /**
     * The position up to which the ends that the worker listed are committed.
     *
     * @return the number of the last such end, or 0 if there is none
     */
    public long cursor() {
        return cursor;
    }

    /**
     * The resources that its runs hold.
     *
     * @return the sum over all runs whose end is not committed
     */
    public ResourceVector used() {
        return used;
    }

    /**
     * The runs on this worker.
     *
     * @return the runs by their keys, in the order of their starts
     */
    public Map<RunKey, RunRecord> runs() {
        return runs;
    }

    void addRun(RunRecord run) {
        runs.put(run.key(), run);
        used = used.plus(run.step().perTask());
    }

    void removeRun(RunRecord run) {
        if (runs.remove(run.key()) != null) {
            used = used.minus(run.step().perTask());
        }
    }
}
