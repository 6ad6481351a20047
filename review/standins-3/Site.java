import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A small deployment on loopback addresses: replicas at 127.0.N.11 on, entries at 127.0.N.21 on, runners at 127.0.N.31 on.
 * The programs run as the deploy file says, in the repository's root.
 */
final class Site implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "jobs.example";
    static final String SERVICE = "workshop";
    static final String KEY = "key-of-tenant-1";
    static final String ZONE_A = "zone-a";

    private static final String DEPLOY_FILE = "deploy/system.toml";
    private static final int CALL_TIMEOUT_MS = 3_200;

    final Trace trace;
    final Path folder;
    final int replicas;
    final int entries;
    private final String net;
    private final int port;
    private final Map<String, Object> bounds = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Integer> starts = new LinkedHashMap<>();
    private List<String> zones;
    private long heartbeatMs = 1_500;
    private int runnerOfKindB = -1;
    private boolean closed;

    /** The bounds that the users' page gives for Ruta Norte; {@code bound} replaces one. */
    Site(Trace trace, int replicas, int entries) throws IOException {
        this.trace = trace;
        this.replicas = replicas;
        this.entries = entries;
        this.folder = Files.createTempDirectory("lovagegrade-review-");
        this.net = "127.0." + ThreadLocalRandom.current().nextInt(10, 250) + ".";
        this.port = freePort();
        this.zones = List.of(ZONE_A, "zone-b", "zone-c", "zone-d");
        Object[] page = {
            "seed_lag_s", 3, "reuse_after_s", 2, "contact_ms", 3000, "ack_ms", 4000, "catch_up_s", 4, "drain_ms", 2000,
            "grace_s", 6, "loss_slack_ms", 200, "config_apply_ms", 2000, "rollback_slack_ms", 250, "max_extension_ms",
            5000, "recover_s", 12, "hold_max_ms", 10000, "stop_ms", 900, "gang_timeout_ms", 3000, "cancel_ms", 3000,
            "visible_ms", 3000, "early_ms", 250, "finish_s", 14, "status_s", 120, "checkpoint_s", 1, "restore_ms", 600
        };
        for (int i = 0; i < page.length; i += 2) {
            bounds.put((String) page[i], page[i + 1]);
        }
    }

    /** The bounds that the users' page gives for Koro Sleeves where they differ. */
    void boundsOfKoroSleeves() {
        bounds.put("hold_max_ms", 6000);
        bounds.put("stop_ms", 200);
        bounds.put("checkpoint_s", 0.5);
        bounds.put("restore_ms", 250);
        bounds.put("require_fencing", false);
    }

    /** Makes one runner the only one of kind {@code b}. */
    void runnerOfKindB(int n) {
        runnerOfKindB = n;
    }

    String kind(int n) {
        return n == runnerOfKindB ? "b" : "a";
    }

    /** A port so that it and the next 50 are free on loopback. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            boolean isFree = true;
            for (int port = first; port < first + 50 && isFree; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                    isFree = socket.isBound();
                } catch (IOException e) {
                    isFree = false;
                }
            }
            if (isFree) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    String replicaHost(int n) {
        return net + (11 + n);
    }

    String entryHost(int n) {
        return net + (21 + n);
    }

    String runnerHost(int n) {
        return net + (31 + n);
    }

    String zone(int n) {
        return zones.get(n % zones.size());
    }

    /** The rack of a runner; each zone has one. */
    String rack(int n) {
        return "r" + (1 + n % zones.size()) + "-1";
    }

    int runnerPort() {
        return port + 5;
    }

    String control(int n) {
        return replicaHost(n) + ":" + port;
    }

    String front(int n) {
        return entryHost(n) + ":" + (port + 1);
    }

    List<String> controls() {
        List<String> controls = new ArrayList<>();
        for (int n = 0; n < replicas; n++) {
            controls.add(control(n));
        }
        return controls;
    }

    long heartbeatMs() {
        return heartbeatMs;
    }

    int bound(String name) {
        return (Integer) bounds.get(name);
    }

    // --- processes

    void startReplica(int n, boolean bootstrap) throws IOException {
        startProcess("replica-" + n, "state", settings("replica-" + n, replicaHost(n), n, true, bootstrap));
    }

    void startEntry(int n) throws IOException {
        startProcess("entry-" + n, "entry", settings("entry-" + n, entryHost(n), n, false, false));
    }

    void startAll() throws IOException {
        for (int n = 0; n < replicas; n++) {
            startReplica(n, true);
        }
        for (int n = 0; n < entries; n++) {
            startEntry(n);
        }
    }

    private synchronized void startProcess(String name, String role, ObjectNode settings) throws IOException {
        if (closed) {
            return;
        }
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings.toPrettyString());
        int start = starts.merge(name, 1, Integer::sum);
        ProcessBuilder builder = new ProcessBuilder(runCommand(role));
        builder.environment().put("LOVAGEGRADE_NODE_FILE", file.toString());
        File log = folder.resolve(name + "." + start + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        processes.put(name, builder.start());
        trace.add("started " + name + ", pid " + processes.get(name).pid() + ", start " + start);
    }

    /** The command of the deploy file, split at spaces. */
    private static List<String> runCommand(String role) throws IOException {
        String section = Files.readString(Path.of(DEPLOY_FILE));
        section = section.substring(section.indexOf("[roles." + role + "]"));
        int from = section.indexOf("run = \"") + 7;
        return List.of(section.substring(from, section.indexOf('"', from)).split(" "));
    }

    private ObjectNode settings(String name, String ip, int n, boolean isReplica, boolean bootstrap) {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("node_name", name).put("role", isReplica ? "state" : "entry");
        settings.put("machine_class", isReplica ? "core" : "frontend");
        settings.putArray("serves").add(isReplica ? "control" : "frontend");
        settings.put("ip", ip).put("zone", zone(n)).put("region", "region");
        ObjectNode zoneTable = settings.putObject("zones");
        zones.forEach(zone -> zoneTable.put(zone, "region"));
        ObjectNode listen = settings.putObject("listen");
        if (isReplica) {
            listen.put("control", control(n));
            settings.put("data_dir", folder.resolve("data-" + name).toString());
        } else {
            listen.put("front", front(n)).put("ready", entryHost(n) + ":" + (port + 2));
            settings.putNull("data_dir");
        }
        settings.putArray("internal_ports").add(port + 3).add(port + 4);
        ArrayNode seeds = settings.putArray("seeds");
        controls().stream().limit(3).forEach(seeds::add);
        settings.put("bootstrap", bootstrap).put("fault_counted", isReplica);
        ObjectNode limits = settings.putObject("limits");
        limits.put("cpu_share", isReplica ? 1.5 : 0.75).put("cores", 1).put("memory_mb", isReplica ? 426 : 430);
        limits.put("max_fds", 4096).put("link_mbps", 1000.0).put("disk_mb", isReplica ? 128 : 0);
        settings.put("discovery", "registry").put("entry", "vip").put("heartbeat_ms", heartbeatMs);
        settings.putObject("fault_tolerance").put("machines", 1).put("zones", 1).put("regions", 0);
        settings.set("bounds", JSON.valueToTree(bounds));
        settings.put("config_mode", "highest").put("control_mode", "invoke").put("advice", net + "9:" + (port + 6));
        return settings;
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Sends a signal to a process that this site started. */
    void signal(String name, String signal) throws IOException {
        Process process = processes.get(name);
        trace.say("signal " + signal + " to " + name);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            if (signal.equals("KILL")) {
                process.waitFor(5, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All logs of a process, of each of its starts. */
    String logs(String name) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int start = 1; start <= starts.getOrDefault(name, 0); start++) {
            text.append(Files.readString(folder.resolve(name + "." + start + ".log")));
        }
        return text.toString();
    }

    /** The replica that took the leadership last, by the logs. */
    int leader() throws IOException {
        int leader = 0;
        long latest = -1;
        for (int n = 0; n < replicas; n++) {
            for (String line : logs("replica-" + n).split("\n")) {
                if (line.contains("\"event\":\"leadershipTaken\"")) {
                    long term = JSON.readTree(line).path("term").asLong();
                    if (term > latest) {
                        latest = term;
                        leader = n;
                    }
                }
            }
        }
        return leader;
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        String keep = System.getenv("KEEP");
        if (keep != null) {
            System.out.println("logs kept in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("not removed: " + folder);
        }
    }

    // --- operator and clients

    /** A desired state with one service, the route /jobs/ and one tenant. */
    ObjectNode desiredState(long version) {
        ObjectNode state = JSON.createObjectNode();
        state.put("version", version);
        addRoute(state.putArray("routes"), "r-jobs", "/jobs/");
        state.putArray("services").addObject().put("name", SERVICE).put("health_path", "/healthz")
                .put("max_conns", 64).put("protocol", "h1").put("tls", false)
                .put("admission_control", false).put("standby", false);
        state.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 262144)
                .put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
        ObjectNode tenant = state.putArray("tenants").addObject();
        tenant.put("name", "tenant-1").putArray("api_keys").add(KEY);
        tenant.put("priority", 1).put("weight", 30);
        tenant.putObject("upper_bound").put("cpu", 0).put("mem_mb", 0).put("gpu", 0);
        return state;
    }

    static void addRoute(ArrayNode routes, String name, String prefix) {
        routes.addObject().put("name", name).put("host", HOST).put("path_prefix", prefix)
                .put("kind", "non_idempotent").put("timeout_ms", 3000).put("completion_target_ms", 1000)
                .put("priority", 1).put("service", SERVICE).put("max_attempts", 4).put("slack_factor", 2.2)
                .put("public", false);
    }

    /** Sends a desired state until it is acknowledged or refused, as the operator does. */
    int configure(ObjectNode state, long forMs) throws IOException {
        String body = JSON.writeValueAsString(state);
        long untilMs = trace.nowMs() + forMs;
        int status = 0;
        for (int n = 0; trace.nowMs() < untilMs; n++) {
            int timeoutMs = 1_000 + state.path("routes").size();
            status = Http.call(control(n % replicas), "PUT", "/api/config", hostLine("control"), body, timeoutMs)
                    .status();
            trace.add("desired state " + state.path("version").asLong() + " (" + body.length() + " bytes) to replica-"
                    + n % replicas + ": " + status);
            if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) {
                return status;
            }
            pause(Math.min(100L << Math.min(n / replicas, 4), 1_000));
        }
        return status;
    }

    static String hostLine(String host) {
        return "Host: " + host + "\r\n";
    }

    /** A call of a client with the tenant's key and the time budget that the pages give. */
    Http.Answer client(int entry, String method, String path, String body) {
        String lines = hostLine(HOST) + "Authorization: Bearer " + KEY + "\r\nX-Deadline-Ms: 3000\r\n";
        return Http.call(front(entry), method, path, lines, body, CALL_TIMEOUT_MS);
    }

    /** A job of one step; {@code workMs} is how long the stand-in runner works on each task. */
    static String job(int count, long workMs, int cpu, String filler) {
        return "{\"spec\":\"run-ms=" + workMs + ";" + filler + "\",\"phases\":[{\"count\":" + count + ",\"cpu\":" + cpu
                + ",\"mem_mb\":256,\"est_runtime_ms\":" + workMs + "}]}";
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
