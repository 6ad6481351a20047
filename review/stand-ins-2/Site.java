import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A small deployment over loopback addresses: three core machines and two entries, each a process started with the
 * command of the deploy file, with the bounds of tiangge-grid. Also plays the operator and the clients.
 */
final class Site implements AutoCloseable {
    static final String SERVICE = "pitchmap";
    static final String HOST = "jobs.example";
    static final String KEY = "key-of-tenant-a-1";
    static final int STOP_MS = 200;
    /** The exit status of a test that couldn't run. */
    static final int COULD_NOT_RUN = 2;
    private static final int CORES = 3;
    private static final int ENTRIES = 2;
    private static final String BOUNDS = "{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,"
            + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
            + "\"hold_max_ms\":6000,\"stop_ms\":200,\"gang_timeout_ms\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,"
            + "\"early_ms\":250,\"finish_s\":14,\"status_s\":120}";

    private final Record record;
    private final Path folder;
    private final int net;
    private final int[] ports;
    /** The address of the advice service, which nobody calls, since no route has advice. */
    private final ServerSocket adviser;
    private final Map<String, Process> processes = new java.util.concurrent.ConcurrentHashMap<>();

    Site(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-2-");
        this.net = 10 + (int) (ProcessHandle.current().pid() % 200);
        this.ports = freePorts();
        this.adviser = new ServerSocket(0, 16, InetAddress.getByName(runnerHost()));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int n = 0; n < CORES; n++) {
            start("core", n, true);
        }
        for (int n = 0; n < ENTRIES; n++) {
            start("entry", n, true);
        }
    }

    /** Ports for control, front, ready and the internal range that are free on all addresses of this deployment. */
    private int[] freePorts() throws IOException {
        for (int first = 21_000 + (int) (System.nanoTime() / 1_000 % 8_000); first < 60_000; first += 50) {
            if (isFree(first)) {
                return new int[] {first, first + 1, first + 2, first + 10};
            }
        }
        throw new IOException("no free ports");
    }

    private boolean isFree(int first) {
        for (int port : new int[] {first, first + 1, first + 2, first + 10, 9464}) {
            for (int host = 1; host <= CORES + ENTRIES; host++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(hostOf(host)))) {
                    probe.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    private String hostOf(int number) {
        return "127." + net + ".7." + number;
    }

    String runnerHost() {
        return hostOf(100);
    }

    List<String> controls() {
        return IntStream.range(0, CORES)
                .mapToObj(n -> hostOf(1 + n) + ":" + ports[0])
                .collect(Collectors.toList());
    }

    String front(int entry) {
        return hostOf(1 + CORES + entry % ENTRIES) + ":" + ports[1];
    }

    private void start(String role, int n, boolean bootstrap) throws IOException {
        String name = role + "-" + n;
        boolean isCore = role.equals("core");
        String ip = hostOf(isCore ? 1 + n : 1 + CORES + n);
        String listen = isCore
                ? "\"control\":\"" + ip + ":" + ports[0] + "\""
                : "\"front\":\"" + ip + ":" + ports[1] + "\",\"ready\":\"" + ip + ":" + ports[2] + "\"";
        String seeds = controls().stream().map(seed -> "\"" + seed + "\"").collect(Collectors.joining(","));
        Path data = folder.resolve("data-" + name);
        Files.createDirectories(data);
        String settings = "{\"node_name\":\"" + name + "\",\"role\":\"" + (isCore ? "state" : "entry")
                + "\",\"machine_class\":\"" + (isCore ? "core" : "frontend") + "\",\"ip\":\"" + ip
                + "\",\"zone\":\"zone-" + n + "\",\"region\":\"r\",\"zones\":{\"zone-0\":\"r\",\"zone-1\":\"r\","
                + "\"zone-2\":\"r\"},\"listen\":{" + listen + "},\"internal_ports\":[" + ports[3] + ","
                + (ports[3] + 15) + "],\"seeds\":[" + seeds + "],\"bootstrap\":" + bootstrap
                + ",\"limits\":{\"cpu_share\":" + (isCore ? "0.75" : "0.75") + ",\"cores\":" + (isCore ? 2 : 1)
                + ",\"memory_mb\":" + (isCore ? 426 : 430)
                + ",\"max_fds\":4096,\"link_mbps\":1000.0,\"disk_mb\":128},\"data_dir\":"
                + (isCore ? "\"" + data + "\"" : "null")
                + ",\"discovery\":\"registry\",\"entry\":\"vip\",\"heartbeat_ms\":1500,\"advice\":\"" + runnerHost() + ":"
                + adviser.getLocalPort() + "\",\"bounds\":" + BOUNDS
                + ",\"config_mode\":\"highest\",\"control_mode\":\"invoke\"}";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        launch(name, isCore ? "state" : "entry", file);
    }

    private void launch(String name, String role, Path settings) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(role));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("LOVAGEGRADE_NODE_FILE", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(name, builder.start());
        record.line("platform: starts %s", name);
    }

    /** The words of the run command of a role in the deploy file. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("no role " + role + " in deploy/system.toml");
        }
        return Arrays.asList(matcher.group(1).split(" "));
    }

    /** Restarts each process that has ended, as the platform does, and returns the names of those that had. */
    List<String> restartEnded() throws IOException {
        List<String> ended = new ArrayList<>();
        for (Map.Entry<String, Process> entry : processes.entrySet()) {
            if (!entry.getValue().isAlive()) {
                ended.add(entry.getKey());
                record.line("platform: %s has ended by itself with code %d", entry.getKey(), entry.getValue().exitValue());
                boolean isCore = entry.getKey().startsWith("core");
                Path file = folder.resolve(entry.getKey() + ".json");
                Files.writeString(file, Files.readString(file).replace("\"bootstrap\":true", "\"bootstrap\":false"));
                launch(entry.getKey(), isCore ? "state" : "entry", file);
            }
        }
        return ended;
    }

    Process process(String name) {
        return processes.get(name);
    }

    Path folder() {
        return folder;
    }

    /** A route without advice, as the operator writes it. */
    static String route(String name, String prefix) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"completion_target_ms\":1000,\"priority\":1,"
                + "\"service\":\"" + SERVICE + "\",\"max_attempts\":3,\"slack_factor\":2.2,\"public\":false}";
    }

    /** Sends a desired state with the given routes until it is acknowledged; returns whether it was. */
    boolean configure(int version, String... routes) {
        String body = "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
                + "\"admission_control\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                + "{\"name\":\"tenant-a\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"weight\":18,\"upper_bound\":"
                + "{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}";
        for (int attempt = 0; attempt < 200; attempt++) {
            Http.Answer answer = Http.call(controls().get(attempt % CORES), "PUT", "/api/config", "", body, 2_000);
            if (answer.isOk()) {
                record.line("operator: version %d is acknowledged", version);
                return true;
            }
            if (answer.status() >= 400 && answer.status() < 500) {
                record.line("operator: version %d is refused: %d %s", version, answer.status(), answer.body());
                return false;
            }
            Runner.sleep(100);
        }
        return false;
    }

    /** Waits until all entries are ready. */
    boolean awaitReady() {
        for (int attempt = 0; attempt < 200; attempt++) {
            boolean allReady = IntStream.range(0, ENTRIES)
                    .allMatch(n -> Http.call(
                                    hostOf(1 + CORES + n) + ":" + ports[2], "GET", "/api/readyz", "", "", 1_000)
                            .isOk());
            if (allReady) {
                return true;
            }
            Runner.sleep(100);
        }
        return false;
    }

    Http.Answer client(int entry, String method, String path, String body) {
        String headers = "Host: " + HOST + "\r\nAuthorization: Bearer " + KEY + "\r\nX-Deadline-Ms: 3000\r\n";
        Http.Answer answer = Http.call(front(entry), method, path, headers, body, 3_500);
        record.line("client: %s %s -> %d %s", method, path, answer.status(), answer.body());
        return answer;
    }

    static String id(long number) {
        return String.format("%016x", 0x5c0e7a2100000000L + number);
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException | java.io.UncheckedIOException e) {
            return;
        }
    }
}
