package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's programs as separate processes on loopback addresses, started with the commands of deploy/system.toml.
 * The settings are those of the ruta-norte site. In a loopback subnet drawn by lot, so that several scripts can run at
 * the same time, replica n has the last byte 11+n, entry n 21+n and runner n 31+n; all use the same ports.
 */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"noreste-a", "noreste-b", "noreste-c", "noreste-d"};
    static final int CONTACT_MS = 3_000;
    static final int ACK_MS = 4_000;
    static final int DRAIN_MS = 2_000;
    static final int FINISH_MS = 14_000;
    static final int HEARTBEAT_MS = 1_500;
    static final int HOLD_MAX_MS = 10_000;
    static final int STOP_MS = 900;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int USED_PORTS = 8;
    private static final int METRICS_PORT = 9_464;
    private static final int RESTART_DELAY_MS = 1_000;

    private final Log log;
    private final Path folder;
    private final int replicas;
    private final int entries;
    private final String subnet;
    private final int firstPort;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Integer> exits = new LinkedHashMap<>();
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor();
    private boolean closing;
    private boolean restarting;

    Fleet(Log log, int replicas, int entries) throws IOException {
        this.log = log;
        this.replicas = replicas;
        this.entries = entries;
        this.folder = Files.createTempDirectory("review-fleet-");
        Random random = new Random();
        this.subnet = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        this.firstPort = freePorts(random);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int n = 0; n < replicas; n++) {
            writeSettings("replica-" + n, replicaHost(n), ZONES[n % ZONES.length], true, true);
        }
        for (int n = 0; n < entries; n++) {
            writeSettings("entry-" + n, entryHost(n), ZONES[n % ZONES.length], false, true);
        }
    }

    String replicaHost(int n) {
        return subnet + (11 + n);
    }

    String entryHost(int n) {
        return subnet + (21 + n);
    }

    String runnerHost(int n) {
        return subnet + (31 + n);
    }

    int runnerPort() {
        return firstPort + 6;
    }

    String front(int n) {
        return entryHost(n) + ":" + (firstPort + 1);
    }

    int entries() {
        return entries;
    }

    List<String> controls() {
        List<String> controls = new ArrayList<>();
        for (int n = 0; n < replicas; n++) {
            controls.add(replicaHost(n) + ":" + firstPort);
        }
        return controls;
    }

    void startAll() throws IOException {
        for (int n = 0; n < replicas; n++) {
            start("replica-" + n);
        }
        for (int n = 0; n < entries; n++) {
            start("entry-" + n);
        }
    }

    /** Starts a process with the command that the deploy file gives for its role. */
    synchronized void start(String name) throws IOException {
        if (closing) {
            return;
        }
        List<String> command = List.of(
                runCommand(name.startsWith("replica") ? "state" : "entry").trim().split(" +"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("LOVAGEGRADE_NODE_FILE", settingsFile(name).toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output(name).toFile()));
        Process process = builder.start();
        processes.put(name, process);
        log.line("process %s starts, pid %d", name, process.pid());
        process.onExit().thenAccept(ended -> noteExit(name, ended));
    }

    private synchronized void noteExit(String name, Process ended) {
        if (!closing) {
            log.line("process %s ended with status %d", name, ended.exitValue());
            boolean bySignal = ended.exitValue() == 128 + 9 || ended.exitValue() == 128 + 15;
            if (!bySignal) {
                exits.merge(name, 1, Integer::sum);
                if (restarting) {
                    restarts.schedule(() -> restart(name), RESTART_DELAY_MS, TimeUnit.MILLISECONDS);
                }
            }
        }
    }

    private void restart(String name) {
        try {
            writeLaterSettings(name);
            start(name);
        } catch (IOException e) {
            log.line("%s was not restarted: %s", name, e);
        }
    }

    /** DEPLOY.md, Ends: from now on a process that exits is restarted after a short delay. */
    synchronized void restartEnded() {
        restarting = true;
    }

    /** How often each process has ended by itself. */
    synchronized Map<String, Integer> ownExits() {
        return Map.copyOf(exits);
    }

    synchronized boolean isRunning(String name) {
        Process process = processes.get(name);
        return process != null && process.isAlive();
    }

    /** SIGKILL. */
    synchronized void kill(String name) {
        log.line("SIGKILL to %s", name);
        processes.get(name).destroyForcibly();
    }

    /** As the platform does at every start but the first of the whole system. */
    void writeLaterSettings(String name) throws IOException {
        int n = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        boolean isReplica = name.startsWith("replica");
        writeSettings(name, isReplica ? replicaHost(n) : entryHost(n), ZONES[n % ZONES.length], isReplica, false);
    }

    /** The lines of a process's log that hold a text; only to explain a result, never to judge by. */
    List<String> logLines(String name, String text) throws IOException {
        if (!Files.exists(output(name))) {
            return List.of();
        }
        try (Stream<String> lines = Files.lines(output(name))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    @Override
    public synchronized void close() {
        if (closing) {
            return;
        }
        closing = true;
        restarts.shutdownNow();
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("not removed: " + folder + ": " + e);
        }
    }

    private Path settingsFile(String name) {
        return folder.resolve(name + ".json");
    }

    private Path output(String name) {
        return folder.resolve(name + ".log");
    }

    private static String runCommand(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no role " + role);
        }
        return matcher.group(1);
    }

    private void writeSettings(String name, String ip, String zone, boolean isReplica, boolean bootstrap)
            throws IOException {
        ObjectNode settings = JSON.createObjectNode();
        settings.put("node_name", name).put("role", isReplica ? "state" : "entry");
        settings.put("machine_class", isReplica ? "core" : "frontend");
        settings.putArray("serves").add(isReplica ? "control" : "frontend");
        settings.put("ip", ip).put("zone", zone).put("region", "noreste");
        ObjectNode zones = settings.putObject("zones");
        for (String each : ZONES) {
            zones.put(each, "noreste");
        }
        ObjectNode listen = settings.putObject("listen");
        if (isReplica) {
            listen.put("control", ip + ":" + firstPort);
            settings.put("data_dir", folder.resolve("data-" + name).toString());
        } else {
            listen.put("front", ip + ":" + (firstPort + 1)).put("ready", ip + ":" + (firstPort + 2));
            settings.putNull("data_dir");
        }
        settings.putArray("internal_ports").add(firstPort + 3).add(firstPort + 5);
        ArrayNode seeds = settings.putArray("seeds");
        controls().stream().limit(3).forEach(seeds::add);
        settings.put("bootstrap", bootstrap).put("fault_counted", isReplica);
        settings.putObject("limits")
                .put("cpu_share", isReplica ? 1.5 : 0.75)
                .put("cores", 1)
                .put("memory_mb", isReplica ? 426 : 430)
                .put("max_fds", isReplica ? 4_096 : 4_100)
                .put("link_mbps", 1_000.0)
                .put("disk_mb", isReplica ? 128 : 0);
        settings.put("discovery", "registry").put("entry", "vip").put("heartbeat_ms", HEARTBEAT_MS);
        settings.put("config_mode", "highest").put("control_mode", "invoke");
        settings.putObject("bounds")
                .put("seed_lag_s", 3)
                .put("contact_ms", CONTACT_MS)
                .put("ack_ms", ACK_MS)
                .put("catch_up_s", 4)
                .put("drain_ms", DRAIN_MS)
                .put("grace_s", 6)
                .put("config_apply_ms", 2_000)
                .put("recover_s", 12)
                .put("hold_max_ms", HOLD_MAX_MS)
                .put("stop_ms", STOP_MS)
                .put("gang_timeout_ms", 3_000)
                .put("cancel_ms", 3_000)
                .put("visible_ms", 3_000)
                .put("early_ms", 250)
                .put("finish_s", FINISH_MS / 1_000)
                .put("status_s", 120)
                .put("lease_ms", 3_000)
                .put("require_fencing", true);
        Files.writeString(settingsFile(name), settings.toPrettyString());
    }

    private int freePorts(Random random) {
        for (int attempt = 0; attempt < 200; attempt++) {
            int candidate = 15_000 + random.nextInt(1_500) * USED_PORTS;
            if (areFree(candidate)) {
                return candidate;
            }
        }
        throw new IllegalStateException("no free ports");
    }

    private boolean areFree(int first) {
        for (int host = 11; host < 41; host++) {
            if (!isFree(host, METRICS_PORT)) {
                return false;
            }
            for (int port = first; port < first + USED_PORTS; port++) {
                if (!isFree(host, port)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean isFree(int host, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(subnet + host, port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
