package org.lovagegrade.kernel;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A single-threaded executor that owns some state: all access to that state runs as a task on its thread, in order. A task
 * that throws is treated as a violated invariant: the exception goes to the thread's uncaught exception handler, which
 * ends the process.
 *
 * <p>Example: {@code loop.execute(() -> queue.add(call));}
 */
public final class EventLoop implements Service {
    private final String name;
    private final ScheduledExecutorService executor;

    private EventLoop(String name) {
        this.name = name;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, name));
    }

    /**
     * Creates a loop with a thread of its own.
     *
     * @param name the name of the thread and of the service
     * @return the loop
     */
    public static EventLoop named(String name) {
        return new EventLoop(name);
    }

    /**
     * Runs a task as soon as the tasks before it are done.
     *
     * @param task the task; dropped if the loop has stopped
     */
    public void execute(Runnable task) {
        try {
            executor.execute(withUncaughtExceptionHandler(task));
        } catch (RejectedExecutionException e) {
            // The loop has stopped and its state is no longer used, so the task can be dropped.
            return;
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delayMs the delay in milliseconds
     * @param task the task; dropped if the loop has stopped
     */
    public void schedule(long delayMs, Runnable task) {
        try {
            executor.schedule(withUncaughtExceptionHandler(task), delayMs, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The loop has stopped and its state is no longer used, so the task can be dropped.
            return;
        }
    }

    /**
     * Runs a task repeatedly, for the first time after one interval.
     *
     * @param intervalMs the delay between the end of one run and the start of the next, in milliseconds
     * @param task the task
     */
    public void scheduleWithFixedDelay(long intervalMs, Runnable task) {
        executor.scheduleWithFixedDelay(
                withUncaughtExceptionHandler(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
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

    private static Runnable withUncaughtExceptionHandler(Runnable task) {
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
