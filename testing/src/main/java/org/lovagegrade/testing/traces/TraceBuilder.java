package org.lovagegrade.testing.traces;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/** Gathers the lines of a trace and sorts them by time. */
final class TraceBuilder {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double CORE_STEP = 0.25;
    private static final int MEMORY_STEP_MB = 256;

    private final Site site;
    private final Random random;
    private final List<Line> lines = new ArrayList<>();
    private int nextJob;

    /** A line and when it happens. */
    private record Line(long atMs, ObjectNode node) {}

    TraceBuilder(Site site, long seed) {
        this.site = site;
        this.random = new Random(seed);
        cell();
        classes();
    }

    Site site() {
        return site;
    }

    Random random() {
        return random;
    }

    ObjectNode at(long atMs, String event) {
        ObjectNode node = JSON.createObjectNode().put("atMs", atMs).put("event", event);
        lines.add(new Line(atMs, node));
        return node;
    }

    /** A job with ordinary sizes; the caller may change its fields. */
    ObjectNode submit(
            long atMs, String workspace, String workClass, int tasks, double cores, int memoryMb, long runMs) {
        return at(atMs, "submit")
                .put("id", String.format(Locale.ROOT, "%s-%05d", workClass, nextJob++))
                .put("team", workspace)
                .put("class", workClass)
                .put("tasks", tasks)
                .put("cores", cores)
                .put("memoryMb", memoryMb)
                .put("accelerators", 0)
                .put("declaredRunMs", (long) (runMs * (0.3 + random.nextDouble() * 3)))
                .put("actualRunMs", runMs);
    }

    ObjectNode batch(long atMs, String workspace, long meanRunMs) {
        double cores = CORE_STEP * (1 + random.nextInt(16));
        int memoryMb = MEMORY_STEP_MB * (1 + random.nextInt(64));
        return submit(atMs, workspace, "batch", 1 + random.nextInt(6), cores, memoryMb, runMs(meanRunMs));
    }

    ObjectNode urgent(long atMs, String workspace) {
        return submit(atMs, workspace, "urgent", 1, 0.5 + 0.5 * random.nextInt(3), 512, 200 + random.nextInt(3_000));
    }

    ObjectNode gang(long atMs, String workspace, int tasks, double cores) {
        return submit(atMs, workspace, "gang", tasks, cores, MEMORY_STEP_MB * 8, runMs(60_000));
    }

    ObjectNode service(long atMs, String workspace, int tasks) {
        ObjectNode node = submit(atMs, workspace, "service", tasks, 1, 2_048, 1);
        return node.putNull("actualRunMs").put("declaredRunMs", 0);
    }

    void outcome(String measure, String bound, double value) {
        long lastMs = lines.stream().mapToLong(Line::atMs).max().orElse(0);
        at(lastMs, "outcome").put("measure", measure).put(bound, value);
    }

    /** A workspace picked at random, evenly. */
    String anyWorkspace() {
        return site.workspaces().get(random.nextInt(site.workspaces().size())).id();
    }

    String worker(int index) {
        return String.format(Locale.ROOT, "w-%04d", index);
    }

    int domainOf(int index) {
        return index * site.failureDomains() / site.workers();
    }

    List<String> render() {
        List<Line> sorted = new ArrayList<>(lines);
        sorted.sort(Comparator.comparingLong(Line::atMs));
        return sorted.stream().map(line -> line.node().toString()).toList();
    }

    private long runMs(long meanMs) {
        return Math.max(500, (long) (-Math.log(1 - random.nextDouble()) * meanMs));
    }

    private void cell() {
        for (int i = 0; i < site.workers(); i++) {
            boolean isAccelerated = i * site.acceleratedWorkers() / site.workers()
                    != (i + 1) * site.acceleratedWorkers() / site.workers();
            at(0, "worker")
                    .put("id", worker(i))
                    .put("failureDomain", "d" + domainOf(i))
                    .put("rack", "r" + i / site.workersPerRack())
                    .put("cores", site.cores())
                    .put("memoryMb", site.memoryMb())
                    .put("accelerators", isAccelerated ? site.acceleratorsPerWorker() : 0);
        }
        for (Site.WorkspaceShare workspace : site.workspaces()) {
            at(0, "team")
                    .put("id", workspace.id())
                    .put("share", workspace.share())
                    .putNull("limitCores")
                    .putNull("limitMemoryMb")
                    .putNull("limitAccelerators");
        }
    }

    private void classes() {
        workClass("urgent", "batch", 2_200L, 10_000L, 20_000L);
        workClass("batch", "batch", null, 60_000L, 20_000L);
        workClass("gang", "gang", 120_000L, 60_000L, 30_000L);
        workClass("service", "service", 10_000L, 30_000L, null);
    }

    private void workClass(String id, String kind, Long waitMs, Long recoveryMs, Long shareMs) {
        at(0, "class")
                .put("id", id)
                .put("kind", kind)
                .put("waitTargetMs", waitMs)
                .put("recoveryTargetMs", recoveryMs)
                .put("shareTargetMs", shareMs);
    }
}
