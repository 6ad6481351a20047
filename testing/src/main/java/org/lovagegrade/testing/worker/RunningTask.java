package org.lovagegrade.testing.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An attempt that a stand-in worker runs or has run. */
final class RunningTask {
    final String job;
    final int task;
    final int attempt;
    final long endsAtMs;
    final boolean fails;
    final long milliCores;
    final long memoryMb;
    final long accelerators;
    long leaseUntilMs;
    String state = "running";

    RunningTask(
            String job,
            int task,
            int attempt,
            long endsAtMs,
            boolean fails,
            long milliCores,
            long memoryMb,
            long accelerators) {
        this.job = job;
        this.task = task;
        this.attempt = attempt;
        this.endsAtMs = endsAtMs;
        this.fails = fails;
        this.milliCores = milliCores;
        this.memoryMb = memoryMb;
        this.accelerators = accelerators;
    }

    boolean isRunning() {
        return state.equals("running") || state.equals("checkpointed");
    }

    void describe(ObjectNode node) {
        node.put("job", job).put("task", task).put("attempt", attempt).put("state", state);
    }
}
