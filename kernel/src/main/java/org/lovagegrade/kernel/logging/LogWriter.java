package org.lovagegrade.kernel.logging;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Writes log lines on a thread of its own, so that a blocked output, such as a full pipe, blocks only this thread. */
final class LogWriter {
    private static final int MAX_QUEUED_LINES = 8_192;
    private static final long FLUSH_TIMEOUT_MS = 300;

    private final BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();

    LogWriter() {
        Thread thread = new Thread(this::run, "logWriter");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues a line to be written; drops and counts it if the queue is full. */
    void write(Runnable line) {
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Waits until the lines queued so far are written. It waits up to {@link #FLUSH_TIMEOUT_MS} for space in the queue, and
     * as long again for the lines.
     */
    void flush() {
        CountDownLatch written = new CountDownLatch(1);
        try {
            boolean isQueued = queue.offer(written::countDown, FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (isQueued) {
                written.await(FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (true) {
                queue.take().run();
                long dropped = droppedLines.getAndSet(0);
                if (dropped > 0) {
                    Log.event("logLinesLeftOut").with("lines", dropped).warn();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
