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
 * @param startedAtMs when the start was committed, in milliseconds since 1970 by the clocks of the leaders
 * @param isStartUnanswered whether an order to start the run went unanswered, so that it may be carried out late
 */
public record RunRecord(
        RunKey key,
        StepRecord step,
        String worker,
        long bornMs,
        String checkpoint,
        long startedAtMs,
        boolean isStartUnanswered) {
    static RunRecord of(StartProto start, StepRecord step) {
        return new RunRecord(
                new RunKey(TaskKey.of(start.getTask()), start.getRun()),
                step,
                start.getWorker(),
                start.getBornMs(),
                start.getCheckpoint(),
                start.getStartedAtMs(),
                start.getUnanswered());
    }

    /** The same run on the incarnation that has accepted it in place of a former one. */
    RunRecord movedTo(long newBornMs) {
        return new RunRecord(key, step, worker, newBornMs, checkpoint, startedAtMs, isStartUnanswered);
    }

    /** The same run after an order to start it went unanswered. */
    RunRecord withUnansweredStart() {
        return new RunRecord(key, step, worker, bornMs, checkpoint, startedAtMs, true);
    }

    StartProto toProto() {
        return StartProto.newBuilder()
                .setTask(key.task().toProto())
                .setRun(key.run())
                .setWorker(worker)
                .setBornMs(bornMs)
                .setCheckpoint(checkpoint)
                .setStartedAtMs(startedAtMs)
                .setUnanswered(isStartUnanswered)
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
