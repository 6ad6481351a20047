package org.lovagegrade.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.http.EntryHttp;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.Kernel;
import org.lovagegrade.kernel.Service;
import org.lovagegrade.kernel.logging.Log;

/**
 * The graceful shutdown of an entry: registered last, so that it is stopped first. It says that the entry is leaving,
 * goes on serving while balancer and endpoints turn away, and returns once nothing is unanswered.
 */
final class Drain implements Service {
    static final String NAME = "drain";

    private static final long LONGEST_MS = 35_000;
    private static final long CHECK_MS = 20;

    private final Kernel kernel;
    private final Clock clock;
    private final long drainMs;

    Drain(Kernel kernel, Clock clock, long drainMs) {
        this.kernel = kernel;
        this.clock = clock;
        this.drainMs = drainMs;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        Log.event("draining").with("drainMs", drainMs).info();
        EventLoop loop = kernel.find(EntryMain.LOOP_NAME, EventLoop.class);
        EntryHttp http = kernel.find(EntryHttp.NAME, EntryHttp.class);
        CallService calls = kernel.find(CallService.NAME, CallService.class);
        Gossip gossip = kernel.find(Gossip.NAME, Gossip.class);
        http.leave();
        loop.execute(() -> {
            calls.leave();
            gossip.leave();
        });
        CountDownLatch empty = new CountDownLatch(1);
        long giveUpMs = clock.nowMs() + LONGEST_MS;
        BooleanSupplier isDone = () -> clock.nowMs() > giveUpMs || (calls.unanswered() == 0 && http.open() == 0);
        loop.schedule(drainMs, () -> awaitDone(loop, isDone, empty));
        try {
            empty.await(LONGEST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitDone(EventLoop loop, BooleanSupplier isDone, CountDownLatch empty) {
        if (isDone.getAsBoolean()) {
            empty.countDown();
        } else {
            loop.schedule(CHECK_MS, () -> awaitDone(loop, isDone, empty));
        }
    }
}
