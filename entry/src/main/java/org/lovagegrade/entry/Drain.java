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
 * The graceful shutdown of an entry. Registered last, so that it is stopped first. It announces that the entry is
 * leaving, continues to serve while the load balancer and the endpoints switch to other entries, and returns once no
 * call and no request is pending, or after a maximum wait.
 */
final class Drain implements Service {
    static final String NAME = "drain";

    private static final long MAX_WAIT_MS = 35_000;
    private static final long CHECK_INTERVAL_MS = 20;

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
        CountDownLatch drained = new CountDownLatch(1);
        long giveUpMs = clock.nowMs() + MAX_WAIT_MS;
        BooleanSupplier isDone =
                () -> clock.nowMs() > giveUpMs || (calls.pendingCalls() == 0 && http.openRequests() == 0);
        loop.schedule(drainMs, () -> awaitDone(loop, isDone, drained));
        try {
            drained.await(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitDone(EventLoop loop, BooleanSupplier isDone, CountDownLatch drained) {
        if (isDone.getAsBoolean()) {
            drained.countDown();
        } else {
            loop.schedule(CHECK_INTERVAL_MS, () -> awaitDone(loop, isDone, drained));
        }
    }
}
