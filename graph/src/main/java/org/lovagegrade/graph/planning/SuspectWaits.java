package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.graph.machine.TaskKey;

/**
 * Remembers since when tasks that may crash their worker have waited for one without runs of other jobs. There may never
 * be such a worker, so a task waits for it for a limited time.
 */
public final class SuspectWaits {
    /** How long a task waits before it may start beside runs of other jobs that end by themselves. */
    static final long MAX_WAIT_MS = 10_000;
    /** The same for a task under which no worker is known to have crashed. */
    static final long MAX_UNCONFIRMED_WAIT_MS = 2_000;

    private final Map<TaskKey, Long> sinceMsByTask = new HashMap<>();

    /**
     * Records that a task waits, from the first call on.
     *
     * @param task the task
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    public void record(TaskKey task, long nowMs) {
        sinceMsByTask.putIfAbsent(task, nowMs);
    }

    /**
     * Whether a task has waited long enough to start beside the runs of other jobs.
     *
     * @param task the task
     * @param isUnconfirmed whether no worker is known to have crashed under the task
     * @param nowMs the present time, on the monotonic clock in milliseconds
     * @return false also if the task isn't known to wait
     */
    public boolean isOver(TaskKey task, boolean isUnconfirmed, long nowMs) {
        long maxMs = isUnconfirmed ? MAX_UNCONFIRMED_WAIT_MS : MAX_WAIT_MS;
        return nowMs - sinceMsByTask.getOrDefault(task, nowMs) >= maxMs;
    }

    /**
     * Forgets a task that has started.
     *
     * @param task the task
     */
    public void forgetTask(TaskKey task) {
        sinceMsByTask.remove(task);
    }

    /**
     * Forgets the tasks of a job that has ended.
     *
     * @param job the id of the job
     */
    public void forgetJob(String job) {
        sinceMsByTask.keySet().removeIf(task -> task.job().equals(job));
    }
}
