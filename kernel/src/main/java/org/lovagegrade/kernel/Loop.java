package org.lovagegrade.kernel;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * One thread that owns some state; all work on that state goes through it. A task that throws is a broken invariant and
 * stops the process.
 *
 * <p>Example: {@code loop.execute(() -> queue.add(call));}
 */
public final class Loop implements Service {
    private final String name;
    private final ScheduledExecutorService executor;

    private Loop(String name) {
        this.name = name;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, name));
    }

    /**
     * Creates a loop.
     *
     * @param name the name of its thread and service
     * @return the loop
     */
    public static Loop named(String name) {
        return new Loop(name);
    }

    /**
     * Runs a task soon.
     *
     * @param task the task; dropped after the stop
     */
    public void execute(Runnable task) {
        try {
            executor.execute(guarded(task));
        } catch (RejectedExecutionException e) {
            // The loop has stopped; nothing depends on its state any more.
            return;
        }
    }

    /**
     * Runs a task later.
     *
     * @param delayMs how long from now, in milliseconds
     * @param task the task; dropped after the stop
     */
    public void schedule(long delayMs, Runnable task) {
        try {
            executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The loop has stopped; nothing depends on its state any more.
            return;
        }
    }

    /**
     * Runs a task again and again.
     *
     * @param intervalMs the pause between two runs, in milliseconds
     * @param task the task
     */
    public void every(long intervalMs, Runnable task) {
        executor.scheduleWithFixedDelay(guarded(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        executor.shutdownNow();
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                Thread thread = Thread.currentThread();
                thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
            }
        };
    }
}
