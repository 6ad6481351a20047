package org.lovagegrade.testing.traces;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What happens in a trace. Stated outcomes come from the targets, never from a run. */
final class Scenario {
    private static final double URGENT_TARGET_PART = 0.99;
    private static final double MOST_SHARE_DISTANCE = 0.05;
    private static final double LEAST_PACKING = 0.90;
    private static final long MINUTE_MS = 60_000;

    private Scenario() {}

    /** Fills a trace. */
    @FunctionalInterface
    interface Filling {
        void fill(TraceBuilder trace);
    }

    static Map<String, Filling> all() {
        Map<String, Filling> all = new TreeMap<>();
        all.put("peak", Scenario::peak);
        all.put("burst", Scenario::burst);
        all.put("cancel-wave", Scenario::cancelWave);
        all.put("lying-sizes", Scenario::lyingSizes);
        all.put("never-fitting", Scenario::neverFitting);
        all.put("failing-workers", Scenario::failingWorkers);
        all.put("lost-domain", Scenario::lostDomain);
        all.put("lowered-limit", Scenario::loweredLimit);
        all.put("everything", Scenario::everything);
        all.put("scale", Scenario::scale);
        return all;
    }

    /** Services stand, batch fills the cell well beyond its size, urgent work comes all the time. */
    private static void peak(TraceBuilder trace) {
        services(trace);
        overload(trace, 0, 10 * MINUTE_MS, 1.4);
        urgentStream(trace, 10_000, 10 * MINUTE_MS, 300);
        gangs(trace, 20_000, 9 * MINUTE_MS, 12);
        urgentOutcome(trace);
        fullCellOutcomes(trace);
    }

    /** One workspace fills the cell, then all the others come at once. */
    private static void burst(TraceBuilder trace) {
        String first = trace.site().workspaces().get(0).id();
        for (int i = 0; i < 3 * trace.site().workers(); i++) {
            trace.submit(
                    i * 20L,
                    first,
                    "batch",
                    8,
                    2,
                    4_096,
                    4 * MINUTE_MS + trace.random().nextInt(60_000));
        }
        for (Site.WorkspaceShare workspace :
                trace.site().workspaces().subList(1, trace.site().workspaces().size())) {
            for (int i = 0; i < trace.site().workers(); i++) {
                trace.submit(
                        MINUTE_MS + i,
                        workspace.id(),
                        "batch",
                        4,
                        2,
                        4_096,
                        90_000 + trace.random().nextInt(60_000));
            }
        }
        urgentStream(trace, MINUTE_MS, 4 * MINUTE_MS, 200);
        urgentOutcome(trace);
        safeOutcome(trace);
    }

    private static void cancelWave(TraceBuilder trace) {
        for (int i = 0; i < 600; i++) {
            String id =
                    trace.batch(i * 50L, trace.anyWorkspace(), 90_000).get("id").asText();
            if (i % 3 != 0) {
                trace.at(40_000 + i / 50, "cancel").put("id", id);
            }
        }
        urgentStream(trace, 5_000, 2 * MINUTE_MS, 400);
        urgentOutcome(trace);
        safeOutcome(trace);
    }

    private static void lyingSizes(TraceBuilder trace) {
        for (int i = 0; i < 400; i++) {
            ObjectNode job = trace.batch(i * 200L, trace.anyWorkspace(), 60_000);
            double factor = 0.3 + trace.random().nextDouble() * 1.7;
            job.put("usedCores", Math.round(job.get("cores").asDouble() * factor * 100) / 100.0);
            job.put("usedMemoryMb", (long) (job.get("memoryMb").asLong() * factor));
        }
        urgentStream(trace, 10_000, 2 * MINUTE_MS, 300);
        urgentOutcome(trace);
        safeOutcome(trace);
    }

    private static void neverFitting(TraceBuilder trace) {
        int cores = trace.site().cores();
        for (int i = 0; i < 40; i++) {
            trace.submit(i * 500L, trace.anyWorkspace(), "batch", 1, cores + 1 + i, 1_024, 10_000);
            trace.gang(i * 500L + 100, trace.anyWorkspace(), trace.site().workers() + 1, cores);
        }
        overload(trace, 1_000, 2 * MINUTE_MS, 0.8);
        urgentStream(trace, 1_000, 2 * MINUTE_MS, 300);
        trace.at(90_000, "worker")
                .put("id", "w-large")
                .put("failureDomain", "d0")
                .put("rack", "r-large")
                .put("cores", cores + 8)
                .put("memoryMb", trace.site().memoryMb())
                .put("accelerators", 0);
        urgentOutcome(trace);
        safeOutcome(trace);
        trace.outcome("setAside", "atLeast", 80);
    }

    private static void failingWorkers(TraceBuilder trace) {
        for (int i = 0; i < 5; i++) {
            String worker = trace.worker(trace.random().nextInt(trace.site().workers()));
            trace.at(5_000 + i * 1_000L, "workerFails").put("id", worker).put("failing", true);
            trace.at(3 * MINUTE_MS + i * 1_000L, "workerFails")
                    .put("id", worker)
                    .put("failing", false);
        }
        overload(trace, 0, 4 * MINUTE_MS, 0.7);
        urgentStream(trace, 1_000, 4 * MINUTE_MS, 250);
        urgentOutcome(trace);
        safeOutcome(trace);
    }

    private static void lostDomain(TraceBuilder trace) {
        services(trace);
        overload(trace, 0, 4 * MINUTE_MS, 0.6);
        urgentStream(trace, 1_000, 4 * MINUTE_MS, 250);
        for (int i = 0; i < trace.site().workers(); i++) {
            if (trace.domainOf(i) == 1) {
                trace.at(MINUTE_MS, "workerLost").put("id", trace.worker(i));
                trace.at(2 * MINUTE_MS + i * 100L, "workerBack").put("id", trace.worker(i));
            }
        }
        urgentOutcome(trace);
        safeOutcome(trace);
    }

    private static void loweredLimit(TraceBuilder trace) {
        overload(trace, 0, 3 * MINUTE_MS, 1.2);
        Site.WorkspaceShare workspace = trace.site().workspaces().get(0);
        trace.at(MINUTE_MS, "limit")
                .put("team", workspace.id())
                .put("limitCores", trace.site().cores() * 2)
                .put("limitMemoryMb", trace.site().memoryMb())
                .putNull("limitAccelerators");
        trace.at(2 * MINUTE_MS, "limit")
                .put("team", workspace.id())
                .putNull("limitCores")
                .putNull("limitMemoryMb")
                .putNull("limitAccelerators");
        safeOutcome(trace);
    }

    private static void everything(TraceBuilder trace) {
        services(trace);
        lyingSizes(trace);
        failingWorkers(trace);
        lostDomain(trace);
        cancelWave(trace);
    }

    /** The two-year size: 27,000 tasks running, 20,000 waiting, a peak of 1,900 starts a second. */
    private static void scale(TraceBuilder trace) {
        for (int i = 0; i < 5_400; i++) {
            trace.service(i, trace.anyWorkspace(), 1);
        }
        for (int i = 0; i < 8_000; i++) {
            trace.batch(10_000 + i, trace.anyWorkspace(), 20_000);
        }
        for (int i = 0; i < 30_000; i++) {
            trace.submit(
                    20_000 + i,
                    trace.anyWorkspace(),
                    "batch",
                    1 + trace.random().nextInt(3),
                    4 + trace.random().nextInt(12),
                    4_096 + 256 * trace.random().nextInt(100),
                    5_000 + trace.random().nextInt(20_000));
        }
        urgentStream(trace, 20_000, MINUTE_MS, 20);
        urgentOutcome(trace);
        safeOutcome(trace);
    }

    private static void services(TraceBuilder trace) {
        for (Site.WorkspaceShare workspace : trace.site().workspaces()) {
            trace.service(0, workspace.id(), 4);
        }
    }

    /** Batch work at a multiple of the cell's size, split evenly between the workspaces. */
    private static void overload(TraceBuilder trace, long fromMs, long toMs, double load) {
        long meanRunMs = 45_000;
        double coresPerJob = 3.5 * 2.125;
        double cell = (double) trace.site().workers() * trace.site().cores();
        double jobsPerMs = load * cell / (coresPerJob * meanRunMs);
        double atMs = fromMs;
        while (atMs < toMs) {
            trace.batch((long) atMs, trace.anyWorkspace(), meanRunMs);
            atMs += -Math.log(1 - trace.random().nextDouble()) / jobsPerMs;
        }
    }

    private static void urgentStream(TraceBuilder trace, long fromMs, long toMs, long meanGapMs) {
        double atMs = fromMs;
        while (atMs < toMs) {
            trace.urgent((long) atMs, trace.anyWorkspace());
            atMs += -Math.log(1 - trace.random().nextDouble()) * meanGapMs;
        }
    }

    private static void gangs(TraceBuilder trace, long fromMs, long toMs, int count) {
        for (int i = 0; i < count; i++) {
            long atMs = fromMs + (toMs - fromMs) * i / count;
            trace.gang(
                    atMs,
                    trace.anyWorkspace(),
                    4 + trace.random().nextInt(9),
                    trace.site().cores() / 4.0);
        }
    }

    private static void urgentOutcome(TraceBuilder trace) {
        trace.outcome("waitTargetMet.urgent", "atLeast", URGENT_TARGET_PART);
    }

    private static void safeOutcome(TraceBuilder trace) {
        trace.outcome("violations", "atMost", 0);
    }

    private static void fullCellOutcomes(TraceBuilder trace) {
        safeOutcome(trace);
        trace.outcome("shareDistance.max", "atMost", MOST_SHARE_DISTANCE);
        trace.outcome("packing", "atLeast", LEAST_PACKING);
    }

    static List<String> names() {
        return List.copyOf(all().keySet());
    }

    static String fileName(Site site, String scenario) {
        return String.format(Locale.ROOT, "%s-%s.jsonl", site.name(), scenario);
    }
}
