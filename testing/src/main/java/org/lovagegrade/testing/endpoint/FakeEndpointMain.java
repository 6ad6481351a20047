package org.lovagegrade.testing.endpoint;

import org.lovagegrade.kernel.EventLoop;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.testing.FakeOptions;

/** The program {@code fake-endpoint}: one or more stand-in endpoints in one process. */
public final class FakeEndpointMain {
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_CONNECTIONS = 64;

    private FakeEndpointMain() {}

    /**
     * Runs the endpoints until the process is ended.
     *
     * @param args {@code --entries host:port,... --id e1 --count 1 --service orders --domain d1 --port 0 ...}
     */
    public static void main(String[] args) {
        FakeOptions options =
                FakeOptions.parse(args, "entries", "id", "count", "service", "domain", "slots", "connections", "port");
        EventLoop loop = EventLoop.named("fakeEndpoints");
        SimpleHttpClient http = SimpleHttpClient.create();
        int count = options.number("count", 1);
        for (int i = 0; i < count; i++) {
            FakeEndpoint.Profile profile = new FakeEndpoint.Profile(
                    options.text("id", "e") + (count > 1 ? "-" + i : ""),
                    options.text("service", "orders"),
                    options.text("domain", "d1"),
                    options.number("slots", DEFAULT_SLOTS),
                    options.number("connections", DEFAULT_CONNECTIONS));
            int port = new FakeEndpoint(profile, options.list("entries"), http, loop).start(options.number("port", 0));
            Log.event("listening")
                    .with("endpoint", profile.id())
                    .with("port", port)
                    .info();
        }
    }
}
