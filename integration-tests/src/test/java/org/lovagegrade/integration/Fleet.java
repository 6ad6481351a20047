package org.lovagegrade.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lovagegrade.kernel.KeyDigest;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.testing.proxy.FaultProxy;
import org.lovagegrade.wire.Address;
import org.lovagegrade.wire.NetworkThreads;

/**
 * A fleet of real processes. Every link between two of them goes through a proxy of its own, so that each direction of
 * each link can be cut alone.
 */
final class Fleet implements AutoCloseable {
    static final String OPERATOR_KEY = "operator-secret";

    private static final int LOWEST_PORT = 12_000;
    private static final int HIGHEST_PORT = 30_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) ProcessHandle.current().pid() * 97);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path folder;
    private final int replicas;
    private final int entries;
    private final int electionTimeoutMs;
    private final boolean admissionControl;
    private final NetworkThreads loops = NetworkThreads.withThreads(2);
    private final SimpleHttpClient http = SimpleHttpClient.create();
    private final Map<String, Integer> ports = new TreeMap<>();
    private final Map<String, FaultProxy> links = new TreeMap<>();
    private final Map<String, Program> programs = new TreeMap<>();

    private Fleet(Path folder, int replicas, int entries, int electionTimeoutMs, boolean admissionControl) {
        this.admissionControl = admissionControl;
        this.folder = folder;
        this.replicas = replicas;
        this.entries = entries;
        this.electionTimeoutMs = electionTimeoutMs;
    }

    /** Starts replicas s1.. and entries e1.., entry n in failure domain dn, and waits until the entries serve. */
    static Fleet start(Path folder, int replicas, int entries) {
        return start(new Fleet(folder, replicas, entries, 1_000, false));
    }

    /** Starts a fleet like {@link #start} whose leader refuses jobs for load. */
    static Fleet startWithAdmissionControl(Path folder, int replicas, int entries) {
        return start(new Fleet(folder, replicas, entries, 1_000, true));
    }

    private static Fleet start(Fleet fleet) {
        try {
            fleet.prepare();
            fleet.replicaNames().forEach(fleet::startProgram);
            fleet.entryNames().forEach(fleet::startProgram);
            fleet.entryNames().forEach(fleet::awaitServing);
            return fleet;
        } catch (AssertionError | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    List<String> replicaNames() {
        return names("s", replicas);
    }

    List<String> entryNames() {
        return names("e", entries);
    }

    Program program(String name) {
        return programs.get(name);
    }

    void startProgram(String name) {
        programs.get(name).start();
    }

    /** The proxy on the way from one process to another; from {@code platform} for workers and endpoints. */
    FaultProxy link(String from, String to) {
        return links.computeIfAbsent(from + ">" + to, _key -> FaultProxy.to(loops, new Address("127.0.0.1", port(to))));
    }

    /** All proxies on ways from or to a process. */
    List<FaultProxy> linksOf(String name) {
        return links.entrySet().stream()
                .filter(entry -> List.of(entry.getKey().split(">")).contains(name))
                .map(Map.Entry::getValue)
                .toList();
    }

    NetworkThreads loops() {
        return loops;
    }

    SimpleHttpClient http() {
        return http;
    }

    /** The address of an entry for callers, without a proxy. */
    String httpAddress(String entry) {
        return "127.0.0.1:" + port(entry + "-http");
    }

    List<String> httpAddresses() {
        return entryNames().stream().map(this::httpAddress).toList();
    }

    Api api(String entry) {
        return new Api(http, httpAddress(entry));
    }

    void awaitServing(String entry) {
        Await.until(
                entry + " serves keyed work", () -> api(entry).get("/healthz").status() == 200);
    }

    /** Creates the workspace, classes and key that most tests need, and waits until they are in force everywhere. */
    void createBasics() {
        api(entryNames().get(0)).createBasics();
        for (String entry : entryNames()) {
            Await.until(
                    "the key is in force at " + entry,
                    () -> api(entry).config().json().path("keys").size() == 1);
        }
    }

    /** The name of the leading replica, by its own word. */
    String leader() {
        return Await.value(
                "a leader",
                () -> replicaNames().stream()
                        .filter(name -> programs.get(name).isAlive())
                        .filter(name -> replicaStatus(name).path("leads").asBoolean())
                        .findFirst()
                        .orElse(null));
    }

    /** A replica that does not lead. */
    String follower() {
        String leader = leader();
        return replicaNames().stream()
                .filter(name -> !name.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    JsonNode replicaStatus(String replica) {
        return new Api(http, "127.0.0.1:" + port(replica + "-status"))
                .get("/healthz")
                .json();
    }

    String replicaMetrics(String replica) {
        return new Api(http, "127.0.0.1:" + port(replica + "-status"))
                .get("/metrics")
                .text();
    }

    void wipeDisk(String replica) {
        try (Stream<Path> files = Files.walk(folder.resolve("data-" + replica))) {
            for (Path path : files.sorted(Comparator.reverseOrder()).collect(Collectors.toList())) {
                Files.delete(path);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Path dataFolder(String replica) {
        return folder.resolve("data-" + replica);
    }

    /** Starts stand-in workers that reach entries through the proxies of {@code platform}. */
    Program startWorkers(String name, int count, String domain, List<String> throughEntries, String... more) {
        List<String> args = new ArrayList<>(List.of(
                "--entries",
                platformAddresses(throughEntries),
                "--id",
                name,
                "--count",
                "" + count,
                "--domain",
                domain,
                "--rack",
                "r-" + domain));
        args.addAll(List.of(more));
        Program program =
                Program.of(name, "org.lovagegrade.testing.worker.FakeWorkerMain", folder, args.toArray(String[]::new));
        programs.put(name, program);
        return program.start();
    }

    String platformAddresses(List<String> throughEntries) {
        return throughEntries.stream()
                .map(entry -> link("platform", entry + "-http").address().toString())
                .collect(Collectors.joining(","));
    }

    static JsonNode parse(String line) {
        try {
            return line.startsWith("{") ? JSON.readTree(line) : JSON.createObjectNode();
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }

    @Override
    public void close() {
        programs.values().forEach(program -> {
            if (program.isAlive()) {
                program.kill();
            }
        });
        links.values().forEach(FaultProxy::close);
        http.close();
        loops.stop();
    }

    private void prepare() {
        for (String replica : replicaNames()) {
            ports.put(replica, freePort());
            ports.put(replica + "-status", freePort());
        }
        for (String entry : entryNames()) {
            ports.put(entry, freePort());
            ports.put(entry + "-http", freePort());
        }
        for (String replica : replicaNames()) {
            Path settings = write(replica, replicaSettings(replica));
            Program format = Program.of(
                    replica + "-format",
                    "org.lovagegrade.state.StateMain",
                    folder,
                    "--settings",
                    settings.toString(),
                    "--format");
            format.runToEnd();
            programs.put(
                    replica,
                    Program.of(replica, "org.lovagegrade.state.StateMain", folder, "--settings", settings.toString()));
        }
        for (String entry : entryNames()) {
            Path settings = write(entry, entrySettings(entry));
            programs.put(
                    entry,
                    Program.of(entry, "org.lovagegrade.entry.EntryMain", folder, "--settings", settings.toString()));
        }
    }

    private String replicaSettings(String replica) {
        return "{\"replicaName\": \"" + replica + "\", \"dataFolder\": \"" + dataFolder(replica)
                + "\", \"listenHost\": \"127.0.0.1\", \"listenPort\": " + port(replica) + ", \"statusPort\": "
                + port(replica + "-status") + ", \"electionTimeoutMs\": " + electionTimeoutMs
                + ", \"admissionControl\": "
                + admissionControl + ", \"replicas\": "
                + replicaList(replica) + "}";
    }

    private String entrySettings(String entry) {
        String seeds = entryNames().stream()
                .filter(other -> !other.equals(entry))
                .map(other -> "{\"address\": \"" + link(entry, other).address() + "\"}")
                .collect(Collectors.joining(", "));
        String advertised = link("entries", entry).address().toString();
        return "{\"entryId\": \"" + entry + "\", \"failureDomain\": \"d" + entry.substring(1)
                + "\", \"listenHost\": \"127.0.0.1\", \"httpPort\": " + port(entry + "-http") + ", \"peerPort\": "
                + port(entry) + ", \"advertisedPeerAddress\": \"" + advertised + "\", \"replicas\": "
                + replicaList(entry) + ", \"entrySeeds\": [" + seeds + "], \"operatorKeys\": [{\"sha256\": \""
                + KeyDigest.of(OPERATOR_KEY) + "\"}]}";
    }

    private String replicaList(String from) {
        return replicaNames().stream()
                .map(other -> "{\"name\": \"" + other + "\", \"address\": \""
                        + (other.equals(from)
                                ? "127.0.0.1:" + port(other)
                                : link(from, other).address()) + "\"}")
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private Path write(String name, String settings) {
        try {
            return Files.writeString(folder.resolve(name + ".json"), settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int port(String name) {
        return ports.get(name);
    }

    /**
     * A free port below those that the system gives to clients and proxies; one of those could be taken by another
     * socket between this look and the start of the program.
     */
    private static int freePort() {
        int port = nextPort();
        while (!isFree(port)) {
            port = nextPort();
        }
        return port;
    }

    private static int nextPort() {
        return LOWEST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), HIGHEST_PORT - LOWEST_PORT);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            names.add(prefix + i);
        }
        return List.copyOf(names);
    }
}
