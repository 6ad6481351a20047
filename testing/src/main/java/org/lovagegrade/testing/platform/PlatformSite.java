package org.lovagegrade.testing.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.lovagegrade.kernel.http.HttpHeader;
import org.lovagegrade.kernel.http.HttpResult;
import org.lovagegrade.kernel.http.SimpleHttpClient;

/**
 * A site over loopback: replica n is at 127.0.0.1n, entry n at 127.0.0.2n, and all use the same ports, as instances of
 * the platform do. Writes the settings files, plays the operator and a client.
 *
 * <p>Example: {@code PlatformSite site = PlatformSite.of(folder, 3, 2, 21_000); site.writeSettings();}
 */
public final class PlatformSite {
    /** The service whose runners run all tasks. */
    public static final String SERVICE = "site";

    /** The host of the only route. */
    public static final String HOST = "jobs.example";

    /** The path prefix of the only route. */
    public static final String PREFIX = "/jobs/";

    /** A key of the only tenant. */
    public static final String KEY = "tenant-key-1";

    private static final int FIRST_REPLICA_HOST = 11;
    private static final int FIRST_ENTRY_HOST = 21;
    private static final String RUNNER_HOST = "127.0.0.31";
    private static final int CONTROL = 0;
    private static final int FRONT = 1;
    private static final int READY = 2;
    private static final int INTERNAL = 3;
    private static final int ADVISER = 4;
    private static final int FIRST_RUNNER = 10;
    private static final long CALL_TIMEOUT_MS = 3_500;

    private final Path folder;
    private final int replicas;
    private final int entries;
    private final int firstPort;
    private final SimpleHttpClient http;

    private PlatformSite(Path folder, int replicas, int entries, int firstPort, SimpleHttpClient http) {
        this.folder = folder;
        this.replicas = replicas;
        this.entries = entries;
        this.firstPort = firstPort;
        this.http = http;
    }

    /**
     * Describes a site.
     *
     * @param folder where settings and data live
     * @param replicas how many replicas
     * @param entries how many entries
     * @param firstPort the first of 40 ports that are free on all loopback addresses
     * @param http makes the calls of operator and client
     * @return the site
     */
    public static PlatformSite of(Path folder, int replicas, int entries, int firstPort, SimpleHttpClient http) {
        return new PlatformSite(folder, replicas, entries, firstPort, http);
    }

    /** Writes a settings file for each process, for a first start. */
    public void writeSettings() {
        for (int n = 0; n < replicas; n++) {
            write(replicaSettings(n), settings("replica-" + n, replicaHost(n), true));
        }
        for (int n = 0; n < entries; n++) {
            write(entrySettings(n), settings("entry-" + n, entryHost(n), false));
        }
    }

    /**
     * The settings file of a replica.
     *
     * @param n its number, from 0
     * @return the file
     */
    public Path replicaSettings(int n) {
        return folder.resolve("replica-" + n + ".json");
    }

    /**
     * The settings file of an entry.
     *
     * @param n its number, from 0
     * @return the file
     */
    public Path entrySettings(int n) {
        return folder.resolve("entry-" + n + ".json");
    }

    /**
     * Makes runners; they are not started.
     *
     * @param count how many
     * @return the runners
     */
    public List<EmulatedRunner> runners(int count) {
        List<EmulatedRunner> runners = new ArrayList<>();
        for (int n = 0; n < count; n++) {
            runners.add(new EmulatedRunner("i-" + n, RUNNER_HOST, firstPort + FIRST_RUNNER + n, controls(), http));
        }
        return runners;
    }

    /**
     * Makes the adviser; it is not started.
     *
     * @return the adviser
     */
    public EmulatedAdviser adviser() {
        return new EmulatedAdviser(RUNNER_HOST, firstPort + ADVISER);
    }

    /**
     * Sends a desired state with one route, one service and one tenant.
     *
     * @param replica the number of the replica to send it to
     * @param version its version
     * @param service the service that the route names
     * @return the HTTP status, or 0 without an answer
     */
    public int configure(int replica, long version, String service) {
        ObjectNode body = JsonServer.object();
        body.put("version", version);
        body.putArray("routes")
                .addObject()
                .put("name", "r")
                .put("host", HOST)
                .put("path_prefix", PREFIX)
                .put("timeout_ms", 3_000)
                .put("service", service)
                .put("max_attempts", 3)
                .put("slack_factor", 2.0)
                .put("completion_target_ms", 1_000)
                .putObject("advice")
                .put("decide_ms", 5.0)
                .put("per_worker_ms", 0.1)
                .put("valid_ms", 1_500);
        body.putArray("services").addObject().put("name", SERVICE);
        ObjectNode tenant = body.putArray("tenants").addObject();
        tenant.put("name", "tenant").put("weight", 1).putArray("api_keys").add(KEY);
        return status(call(controls().get(replica), "PUT", "/api/config", List.of(), body.toString()));
    }

    /**
     * Reads the desired state.
     *
     * @param replica the number of the replica to ask
     * @return the body, or an empty text without one
     */
    public String configuration(int replica) {
        return text(call(controls().get(replica), "GET", "/api/config", List.of(), ""));
    }

    /**
     * Hands a job in.
     *
     * @param entry the number of the entry
     * @param id the job's id
     * @param key the key to show
     * @param phases the steps as JSON
     * @param spec what each task gets
     * @return the HTTP status, or 0 without an answer
     */
    public int submit(int entry, String id, String key, String phases, String spec) {
        String body = "{\"spec\":\"" + spec + "\",\"phases\":" + phases + "}";
        return status(call(front(entry), "POST", PREFIX + id, headers(key), body));
    }

    /**
     * Asks for a job's state.
     *
     * @param entry the number of the entry
     * @param id the job's id
     * @return the body, or an empty text without one
     */
    public String state(int entry, String id) {
        return text(call(front(entry), "GET", PREFIX + id, headers(KEY), ""));
    }

    /**
     * Cancels a job.
     *
     * @param entry the number of the entry
     * @param id the job's id
     * @return the HTTP status, or 0 without an answer
     */
    public int cancel(int entry, String id) {
        return status(call(front(entry), "DELETE", PREFIX + id, headers(KEY), ""));
    }

    /**
     * Asks an entry as the balancer does.
     *
     * @param entry the number of the entry
     * @return whether it says that it is ready
     */
    public boolean isReady(int entry) {
        return status(call(entryHost(entry) + ":" + (firstPort + READY), "GET", "/api/readyz", List.of(), "")) == 200;
    }

    private ObjectNode settings(String name, String ip, boolean isReplica) {
        ObjectNode settings = JsonServer.object();
        settings.put("node_name", name).put("ip", ip).put("zone", "zone-a").put("bootstrap", true);
        settings.put("heartbeat_ms", 300);
        ObjectNode listen = settings.putObject("listen");
        if (isReplica) {
            listen.put("control", ip + ":" + (firstPort + CONTROL));
            settings.put("data_dir", folder.resolve("data-" + name).toString());
        } else {
            listen.put("front", ip + ":" + (firstPort + FRONT)).put("ready", ip + ":" + (firstPort + READY));
        }
        settings.putArray("internal_ports").add(firstPort + INTERNAL).add(firstPort + INTERNAL);
        ArrayNode seeds = settings.putArray("seeds");
        controls().forEach(seeds::add);
        settings.put("advice", RUNNER_HOST + ":" + (firstPort + ADVISER));
        settings.putObject("bounds")
                .put("hold_max_ms", 3_000)
                .put("stop_ms", 200)
                .put("grace_s", 6)
                .put("contact_ms", 3_000)
                .put("status_s", 120);
        return settings;
    }

    private static void write(Path file, ObjectNode settings) {
        try {
            Files.createDirectories(file.getParent());
            Files.writeString(file, settings.toPrettyString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<String> controls() {
        return IntStream.range(0, replicas)
                .mapToObj(n -> replicaHost(n) + ":" + (firstPort + CONTROL))
                .toList();
    }

    private String front(int entry) {
        return entryHost(entry) + ":" + (firstPort + FRONT);
    }

    private static String replicaHost(int n) {
        return "127.0.0." + (FIRST_REPLICA_HOST + n);
    }

    private static String entryHost(int n) {
        return "127.0.0." + (FIRST_ENTRY_HOST + n);
    }

    private static List<HttpHeader> headers(String key) {
        return List.of(new HttpHeader("Authorization", "Bearer " + key), new HttpHeader("Host", HOST));
    }

    private HttpResult call(String to, String method, String path, List<HttpHeader> headers, String body) {
        return http.send(to, method, path, headers, body.getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT_MS);
    }

    private static int status(HttpResult result) {
        return result instanceof HttpResult.Answered whole ? whole.status() : 0;
    }

    private static String text(HttpResult result) {
        return result instanceof HttpResult.Answered whole ? whole.text() : "";
    }
}
