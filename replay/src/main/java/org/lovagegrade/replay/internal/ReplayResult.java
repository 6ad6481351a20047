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

/** The result of a replay. */
public final class ReplayResult {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MEDIAN = 0.5;
    private static final double P99 = 0.99;
    private static final double P99_PERCENT = 99;
    private static final double MEDIAN_PERCENT = 50;

    private final ReplayCounts counts;
    private final TimeWeightedMeasures measures;
    private final InvariantChecker invariantChecker;
    private final Histogram decisionUs;
    private final Map<String, List<Long>> waitsMs = new TreeMap<>();
    private final Map<String, long[]> waitTargetMetAndTotal = new TreeMap<>();
    private final Map<String, WorkClass> classes = new TreeMap<>();
    private long pendingTasks;

    ReplayResult(
            ReplayCounts counts,
            TimeWeightedMeasures measures,
            InvariantChecker invariantChecker,
            Histogram decisionUs,
            List<ReplayedJob> jobs) {
        this.counts = counts;
        this.measures = measures;
        this.invariantChecker = invariantChecker;
        this.decisionUs = decisionUs;
        jobs.stream().filter(job -> job.accepted).forEach(this::countJob);
        waitsMs.values().forEach(waits -> waits.sort(null));
    }

    /**
     * Returns the first violations of invariants; the summary has the number of all.
     *
     * @return a message for each
     */
    public List<String> violations() {
        return invariantChecker.firstViolations();
    }

    /**
     * Returns the summary with all measures.
     *
     * @param cpuMs the processor time used, in milliseconds
     * @param peakHeapMb the peak heap usage, in megabytes
     * @return the summary
     */
    public ObjectNode toJson(double cpuMs, double peakHeapMb) {
        ObjectNode node = JSON.createObjectNode()
                .put("violations", invariantChecker.violationCount())
                .put("accepted", counts.accepted)
                .put("refused", counts.refused)
                .put("setAside", counts.unschedulable.size())
                .put("placements", counts.placements)
                .put("ended", counts.ended)
                .put("pending", pendingTasks);
        ObjectNode waits = node.putObject("waitMs");
        waitsMs.forEach((id, values) -> waits.putObject(id)
                .put("p50", quantile(values, MEDIAN))
                .put("p99", quantile(values, P99))
                .put("max", values.isEmpty() ? 0 : values.get(values.size() - 1)));
        ObjectNode met = node.putObject("waitTargetMet");
        waitTargetMetAndTotal.forEach(
                (id, metAndTotal) -> met.put(id, metAndTotal[1] == 0 ? 1.0 : (double) metAndTotal[0] / metAndTotal[1]));
        node.put("packing", measures.packing());
        ObjectNode distances = node.putObject("shareDistance");
        double maxDistance = 0;
        for (Map.Entry<String, Double> distance : measures.shareDistances().entrySet()) {
            distances.put(distance.getKey(), distance.getValue());
            maxDistance = Math.max(maxDistance, distance.getValue());
        }
        distances.put("max", maxDistance);
        node.put("preempted", counts.preempted).put("lostWorkMs", counts.lostWorkMs);
        node.putObject("decisionUs")
                .put("p50", decisionUs.getValueAtPercentile(MEDIAN_PERCENT))
                .put("p99", decisionUs.getValueAtPercentile(P99_PERCENT));
        return node.put("cpuMs", cpuMs).put("peakHeapMb", peakHeapMb);
    }

    /**
     * Returns the waiting times of a work class.
     *
     * @param workClass the work class's id
     * @return the waiting times in milliseconds, in ascending order
     */
    public List<Long> waitsMs(String workClass) {
        return waitsMs.getOrDefault(workClass, List.of());
    }

    /**
     * Returns the work classes with accepted jobs.
     *
     * @return the work classes by id
     */
    public Map<String, WorkClass> classes() {
        return classes;
    }

    /**
     * Returns the times of the samples for plots.
     *
     * @return the times in seconds
     */
    public List<Double> sampleTimesSeconds() {
        return measures.samples().stream()
                .map(sample -> sample.atMs() / 1_000.0)
                .toList();
    }

    /**
     * Returns the packing over time.
     *
     * @return the dominant share of the responsive capacity that is allocated, one value per sample
     */
    public List<Double> packingOverTime() {
        return measures.samples().stream()
                .map(TimeWeightedMeasures.Sample::packing)
                .toList();
    }

    /**
     * Returns a workspace's use of the cell over time.
     *
     * @param workspace the workspace's id
     * @return the dominant share of the responsive capacity that it uses, one value per sample
     */
    public List<Double> useOverTime(String workspace) {
        return measures.samples().stream()
                .map(sample -> sample.useByWorkspace().getOrDefault(workspace, 0.0))
                .toList();
    }

    /**
     * Returns the workspaces of the trace.
     *
     * @return their ids, in order
     */
    public List<String> workspaces() {
        return List.copyOf(measures.shareDistances().keySet());
    }

    private void countJob(ReplayedJob job) {
        WorkClass workClass = job.workClass;
        classes.put(workClass.id(), workClass);
        waitsMs.computeIfAbsent(workClass.id(), _id -> new ArrayList<>());
        if (job.isActive()) {
            pendingTasks += job.waitingTasks;
        }
        long submittedAtMs = job.submission.atMs();
        if (workClass.kind() == ClassKind.GANG) {
            long lastStartMs = -1;
            boolean allStarted = true;
            for (long startMs : job.firstStartMs) {
                lastStartMs = Math.max(lastStartMs, startMs);
                allStarted &= startMs >= 0;
            }
            countWait(job, allStarted ? lastStartMs - submittedAtMs : -1);
            return;
        }
        for (long startMs : job.firstStartMs) {
            countWait(job, startMs < 0 ? -1 : startMs - submittedAtMs);
        }
    }

    /**
     * Counts one waiting time; a negative one stands for work that never started. Work that was unschedulable, or was
     * cancelled within its waiting target, does not count against the target.
     */
    private void countWait(ReplayedJob job, long waitMs) {
        String id = job.workClass.id();
        OptionalLong targetMs = job.workClass.waitTargetMs();
        if (waitMs >= 0) {
            waitsMs.get(id).add(waitMs);
        }
        if (targetMs.isEmpty()) {
            return;
        }
        long[] metAndTotal = waitTargetMetAndTotal.computeIfAbsent(id, _id -> new long[2]);
        boolean wasWithdrawn = waitMs < 0
                && (job.unschedulable
                        || (job.cancelledAtMs.isPresent()
                                && job.cancelledAtMs.getAsLong() - job.submission.atMs() <= targetMs.getAsLong()));
        if (wasWithdrawn) {
            return;
        }
        metAndTotal[1]++;
        if (waitMs >= 0 && waitMs <= targetMs.getAsLong()) {
            metAndTotal[0]++;
        }
    }

    private static long quantile(List<Long> sorted, double fraction) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int index = (int) Math.ceil(fraction * sorted.size()) - 1;
        return sorted.get(Math.max(0, index));
    }
}
