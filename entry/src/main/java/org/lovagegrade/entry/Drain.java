package org.lovagegrade.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.lovagegrade.entry.calls.CallService;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.http.EntryHttp;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.Clock;
import org.lovagegrade.kernel.Loop;
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

    private final EntryHttp http;
    private final CallService calls;
    private final EndpointDirectory directory;
    private final Gossip gossip;
    private final ViewKeeper views;
    private final Loop loop;
    private final Clock clock;
    private final long drainMs;

    Drain(
            EntryHttp http,
            CallService calls,
            EndpointDirectory directory,
            Gossip gossip,
            ViewKeeper views,
            Loop loop,
            Clock clock,
            long drainMs) {
        this.http = http;
        this.calls = calls;
        this.directory = directory;
        this.gossip = gossip;
        this.views = views;
        this.loop = loop;
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
        http.leave();
        CountDownLatch empty = new CountDownLatch(1);
        loop.execute(() -> {
            directory.leave();
            gossip.leave();
            views.leave();
        });
        long beganMs = clock.nowMs();
        loop.schedule(drainMs, () -> awaitEmpty(empty, beganMs));
        try {
            empty.await(LONGEST_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitEmpty(CountDownLatch empty, long beganMs) {
        boolean isOver = clock.nowMs() - beganMs > LONGEST_MS;
        if (isOver || (calls.unanswered() == 0 && http.open() == 0)) {
            empty.countDown();
            return;
        }
        loop.schedule(CHECK_MS, () -> awaitEmpty(empty, beganMs));
    }
}
