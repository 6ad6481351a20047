package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.StartProto;

/**
 * A run that was started and whose end is not yet committed; it takes room until then.
 *
 * @param key which run
 * @param step the step of its task
 * @param worker the id of the worker
 * @param bornMs the life of the worker
 * @param checkpoint from where it goes on, or an empty text
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
     * Whether the run serves no purpose any more.
     *
     * @return true if its job is over, or another member of its gang has completed for all
     */
    public boolean isObsolete() {
        TaskRecord task = step.tasks().get(key.task().index());
        return step.job().isOver() || task.run() != key.run() || !task.isRunning();
    }
}
