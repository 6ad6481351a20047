package org.lovagegrade.graph.machine;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lovagegrade.wire.proto.WorkerProto;

/** One life of a worker, as the log knows it. */
public final class WorkerRecord {
    private final Map<RunKey, RunRecord> runs = new LinkedHashMap<>();
    WorkerProto info;
    long cursor;
    ResourceVector used = ResourceVector.NONE;

    WorkerRecord(WorkerProto info) {
        this.info = info;
    }

    /**
     * What the worker says of itself.
     *
     * @return the message
     */
    public WorkerProto info() {
        return info;
    }

    /**
     * The number of the last end that was taken note of.
     *
     * @return the number, 0 if there was none
     */
    public long cursor() {
        return cursor;
    }

    /**
     * The room that its runs take.
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

    void add(RunRecord run) {
        runs.put(run.key(), run);
        used = used.plus(run.step().perTask());
    }

    void remove(RunRecord run) {
        if (runs.remove(run.key()) != null) {
            used = used.minus(run.step().perTask());
        }
    }
}
