package org.lovagegrade.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;

/** Callers that call again and again until they are stopped. */
final class CallLoad implements AutoCloseable {
    private final ExecutorService threads;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final ConcurrentLinkedQueue<Api.Reply> replies = new ConcurrentLinkedQueue<>();

    private CallLoad(int callers) {
        this.threads = Executors.newFixedThreadPool(callers);
    }

    /** Begins; each caller asks anew for the entry of its next call. */
    static CallLoad begin(int callers, String path, String method, IntFunction<Api> entry) {
        CallLoad load = new CallLoad(callers);
        for (int i = 0; i < callers; i++) {
            int caller = i;
            load.threads.execute(() -> load.run(caller, path, method, entry));
        }
        return load;
    }

    List<Api.Reply> replies() {
        return new ArrayList<>(replies);
    }

    long answered() {
        return replies.stream().filter(Api.Reply::isOk).count();
    }

    /** Stops the callers and waits for their last answers. */
    List<Api.Reply> stop() {
        stopped.set(true);
        threads.shutdown();
        try {
            threads.awaitTermination(60, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return replies();
    }

    @Override
    public void close() {
        stop();
    }

    private void run(int caller, String path, String method, IntFunction<Api> entry) {
        for (int call = 0; !stopped.get(); call++) {
            replies.add(entry.apply(caller + call).call(method, path, "secret", Map.of("Test-Team", "norte"), "x"));
        }
    }
}
