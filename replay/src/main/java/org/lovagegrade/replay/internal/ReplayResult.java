package org.lovagegrade.replay.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.WorkClass;

/** All that was seen in one replay. */
public final class ReplayResult {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MEDIAN = 0.5;
    private static final double P99 = 0.99;
    private static final double P99_PERCENT = 99;
    private static final double MEDIAN_PERCENT = 50;

    private final ReplayCounts counts;
    private final Measures measures;
    private final Audit audit;
    private final Histogram decisionUs;
    private final Map<String, List<Long>> waitsMs = new TreeMap<>();
    private final Map<String, long[]> targets = new TreeMap<>();
    private final Map<String, WorkClass> classes = new TreeMap<>();
    private long pending;

    ReplayResult(ReplayCounts counts, Measures measures, Audit audit, Histogram decisionUs, List<ReplayedJob> jobs) {
        this.counts = counts;
        this.measures = measures;
        this.audit = audit;
        this.decisionUs = decisionUs;
        jobs.stream().filter(job -> job.accepted).forEach(this::count);
        waitsMs.values().forEach(waits -> waits.sort(null));
    }

    /**
     * The violations found, the first of them only.
     *
     * @return one text each
     */
    public List<String> violations() {
        return audit.found();
    }

    /**
     * The summary.
     *
     * @param cpuMs the processor time spent, in milliseconds
     * @param peakHeapMb the greatest heap in use, in megabytes
     * @return one JSON object
     */
    public ObjectNode toJson(double cpuMs, double peakHeapMb) {
        ObjectNode node = JSON.createObjectNode()
                .put("violations", audit.violations())
                .put("accepted", counts.accepted)
                .put("refused", counts.refused)
                .put("setAside", counts.setAside.size())
                .put("placements", counts.placements)
                .put("ended", counts.ended)
                .put("pending", pending);
        ObjectNode waits = node.putObject("waitMs");
        waitsMs.forEach((id, values) -> waits.putObject(id)
                .put("p50", quantile(values, MEDIAN))
                .put("p99", quantile(values, P99))
                .put("max", values.isEmpty() ? 0 : values.get(values.size() - 1)));
        ObjectNode met = node.putObject("waitTargetMet");
        targets.forEach((id, kept) -> met.put(id, kept[1] == 0 ? 1.0 : (double) kept[0] / kept[1]));
        node.put("packing", measures.packing());
        ObjectNode distances = node.putObject("shareDistance");
        double most = 0;
        for (Map.Entry<String, Double> distance : measures.shareDistances().entrySet()) {
            distances.put(distance.getKey(), distance.getValue());
            most = Math.max(most, distance.getValue());
        }
        distances.put("max", most);
        node.put("preempted", counts.preempted).put("lostWorkMs", counts.lostWorkMs);
        node.putObject("decisionUs")
                .put("p50", decisionUs.getValueAtPercentile(MEDIAN_PERCENT))
                .put("p99", decisionUs.getValueAtPercentile(P99_PERCENT));
        return node.put("cpuMs", cpuMs).put("peakHeapMb", peakHeapMb);
    }

    /**
     * The waits of one class.
     *
     * @param workClass the class's id
     * @return the waits in milliseconds, sorted
     */
    public List<Long> waitsMs(String workClass) {
        return waitsMs.getOrDefault(workClass, List.of());
    }

    /**
     * The classes that had work.
     *
     * @return by id
     */
    public Map<String, WorkClass> classes() {
        return classes;
    }

    /**
     * The times of the samples for plots.
     *
     * @return in seconds
     */
    public List<Double> sampleTimesS() {
        return measures.samples().stream()
                .map(sample -> sample.atMs() / 1_000.0)
                .toList();
    }

    /**
     * Packing over time.
     *
     * @return one value per sample
     */
    public List<Double> packingOverTime() {
        return measures.samples().stream().map(Measures.Sample::packing).toList();
    }

    /**
     * A workspace's use of the cell over time.
     *
     * @param workspace the workspace's id
     * @return one value per sample
     */
    public List<Double> useOverTime(String workspace) {
        return measures.samples().stream()
                .map(sample -> sample.useByWorkspace().getOrDefault(workspace, 0.0))
                .toList();
    }

    /**
     * The workspaces of the trace.
     *
     * @return their ids
     */
    public List<String> workspaces() {
        return List.copyOf(measures.shareDistances().keySet());
    }

    private void count(ReplayedJob job) {
        WorkClass workClass = job.workClass;
        classes.put(workClass.id(), workClass);
        waitsMs.computeIfAbsent(workClass.id(), _id -> new ArrayList<>());
        if (job.isActive()) {
            pending += job.waiting;
        }
        long submittedAtMs = job.line.atMs();
        if (workClass.kind() == ClassKind.GANG) {
            long lastMs = -1;
            boolean allStarted = true;
            for (long startMs : job.firstStartMs) {
                lastMs = Math.max(lastMs, startMs);
                allStarted &= startMs >= 0;
            }
            count(job, allStarted ? lastMs - submittedAtMs : -1);
            return;
        }
        for (long startMs : job.firstStartMs) {
            count(job, startMs < 0 ? -1 : startMs - submittedAtMs);
        }
    }

    /** Counts one wait, or with a negative one work that never started. */
    private void count(ReplayedJob job, long waitMs) {
        String id = job.workClass.id();
        OptionalLong targetMs = job.workClass.waitTargetMs();
        if (waitMs >= 0) {
            waitsMs.get(id).add(waitMs);
        }
        if (targetMs.isEmpty()) {
            return;
        }
        long[] kept = targets.computeIfAbsent(id, _id -> new long[2]);
        boolean wasWithdrawn = waitMs < 0
                && (job.setAside
                        || (job.cancelledAtMs.isPresent()
                                && job.cancelledAtMs.getAsLong() - job.line.atMs() <= targetMs.getAsLong()));
        if (wasWithdrawn) {
            return;
        }
        kept[1]++;
        if (waitMs >= 0 && waitMs <= targetMs.getAsLong()) {
            kept[0]++;
        }
    }

    private static long quantile(List<Long> sorted, double part) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int index = (int) Math.ceil(part * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }
}
