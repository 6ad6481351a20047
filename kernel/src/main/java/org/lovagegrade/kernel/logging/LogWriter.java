package org.lovagegrade.kernel.logging;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Writes log lines on a thread of its own, so that an output that nobody reads blocks nothing but this thread. */
final class LogWriter {
    private static final int MOST_WAITING = 8_192;
    private static final long FLUSH_TIMEOUT_MS = 300;

    private final BlockingQueue<Runnable> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong leftOut = new AtomicLong();

    LogWriter() {
        Thread thread = new Thread(this::run, "logWriter");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes a line to write; drops and counts it if too many wait. */
    void write(Runnable line) {
        if (!waiting.offer(line)) {
            leftOut.incrementAndGet();
        }
    }

    /** Waits until what was taken so far is written, but not for long. */
    void flush() {
        CountDownLatch written = new CountDownLatch(1);
        try {
            boolean isTaken = waiting.offer(written::countDown, FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (isTaken) {
                written.await(FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (true) {
                waiting.take().run();
                long missing = leftOut.getAndSet(0);
                if (missing > 0) {
                    Log.event("logLinesLeftOut").with("lines", missing).warn();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
