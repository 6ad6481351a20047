package org.lovagegrade.testing.worker;

import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.testing.FakeOptions;

/** The program {@code fake-worker}: one or more stand-in workers in one process. */
public final class FakeWorkerMain {
    private static final int DEFAULT_MILLI_CORES = 16_000;
    private static final int DEFAULT_MEMORY_MB = 65_536;
    private static final int DEFAULT_RUN_MS = 2_000;

    private FakeWorkerMain() {}

    /**
     * Runs the workers until the process is ended.
     *
     * @param args {@code --entries host:port,... --id w1 --count 1 --domain d1 --rack r1 --milli-cores 16000 ...}
     */
    public static void main(String[] args) {
        FakeOptions options = FakeOptions.parse(
                args, "entries", "id", "count", "domain", "rack", "milli-cores", "memory-mb", "accelerators", "run-ms");
        EventLoop loop = EventLoop.named("fakeWorkers");
        SimpleHttpClient http = SimpleHttpClient.create();
        int count = options.number("count", 1);
        for (int i = 0; i < count; i++) {
            String id = options.text("id", "w") + (count > 1 ? "-" + i : "");
            FakeWorker.Profile profile = new FakeWorker.Profile(
                    id,
                    options.text("domain", "d1"),
                    options.text("rack", "r1"),
                    options.number("milli-cores", DEFAULT_MILLI_CORES),
                    options.number("memory-mb", DEFAULT_MEMORY_MB),
                    options.number("accelerators", 0),
                    options.number("run-ms", DEFAULT_RUN_MS));
            new FakeWorker(profile, options.list("entries"), http, loop).start();
        }
    }
}
