package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.StartProto;

/**
 * A run whose start is committed and whose end is not; until then it holds its resources.
 *
 * @param key the run's key
 * @param step the step of its task
 * @param worker the id of the worker
 * @param bornMs the incarnation of the worker, as its start time in milliseconds since 1970; 0 if not reported
 * @param checkpoint the checkpoint to resume from, or an empty string
 */
public record RunRecord(RunKey key, StepRecord step, String worker, long bornMs, String checkpoint) {
    static RunRecord of(StartProto start, StepRecord step) {
        return new RunRecord(
                new RunKey(TaskKey.of(start.getTask()), start.getRun()),
                step,
                start.getWorker(),
                start.getBornMs(),
                start.getCheckpoint());
    }

    /** The same run on the incarnation that has accepted it in place of a former one. */
    RunRecord movedTo(long newBornMs) {
        return new RunRecord(key, step, worker, newBornMs, checkpoint);
    }

    StartProto toProto() {
        return StartProto.newBuilder()
                .setTask(key.task().toProto())
                .setRun(key.run())
                .setWorker(worker)
                .setBornMs(bornMs)
                .setCheckpoint(checkpoint)
                .build();
    }

    /**
     * Whether the run's result is no longer needed.
     *
     * @return true if its job is finished, or another member of its gang has completed the step for all members
     */
    public boolean isObsolete() {
        TaskRecord task = step.tasks().get(key.task().index());
        return step.job().isFinished() || task.run() != key.run() || !task.isRunning();
    }

    /**
     * Whether the run belongs to a gang that has lost another member, so that it can't complete.
     *
     * @return true if a task of its gang waits for a new run
     */
    public boolean isOfBrokenGang() {
        return step.spec().getGang() && step.waitingTasks() > 0;
    }
}
