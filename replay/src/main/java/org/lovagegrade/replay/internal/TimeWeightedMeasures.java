package org.lovagegrade.replay.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.internal.EngineView;

/**
 * Time-weighted means: the packing of the cell while work waits, and the shortfall of each workspace from its share while
 * the cell is full.
 */
final class TimeWeightedMeasures {
    private static final int MAX_SAMPLES = 2_000;

    private final Map<String, WorkspaceSum> sumsByWorkspace = new TreeMap<>();
    private final List<Sample> samples = new ArrayList<>();
    private double packingMsSum;
    private long timeWithWaitingWorkMs;
    private long lastAtMs = -1;
    private double currentPacking;
    private boolean hasWaitingWork;
    private long nextSampleMs;
    private long sampleIntervalMs = 100;

    /** A data point for the plots. */
    record Sample(long atMs, double packing, Map<String, Double> useByWorkspace) {}

    /** The sums of one workspace; "contending" means that the cell is full and the workspace has waiting work. */
    private static final class WorkspaceSum {
        private double share;
        private double shortfallMsSum;
        private long contendedMs;
        private double currentShortfall;
        private boolean currentlyContending;
    }

    /** Adds the time since the last call, weighted with the current values. */
    void advanceTo(long atMs) {
        long elapsedMs = lastAtMs < 0 ? 0 : atMs - lastAtMs;
        lastAtMs = atMs;
        if (elapsedMs <= 0) {
            return;
        }
        if (hasWaitingWork) {
            packingMsSum += currentPacking * elapsedMs;
            timeWithWaitingWorkMs += elapsedMs;
        }
        for (WorkspaceSum sum : sumsByWorkspace.values()) {
            if (sum.currentlyContending) {
                sum.shortfallMsSum += sum.currentShortfall * elapsedMs;
                sum.contendedMs += elapsedMs;
            }
        }
    }

    /** Sets the current values, which hold until the next update. */
    void update(
            long atMs,
            EngineView view,
            Resources allocated,
            boolean waiting,
            Map<String, Resources> waitingDemandByWorkspace) {
        Resources capacity = view.responsiveCapacity();
        currentPacking = allocated.dominantShareOf(capacity);
        hasWaitingWork = waiting;
        boolean[] cellFull = {false};
        view.forEachWorkspace(workspace -> cellFull[0] |= workspace.waitsForCapacity());
        Map<String, Double> useByWorkspace = new HashMap<>();
        view.forEachWorkspace(workspace -> {
            double use = workspace.used().dominantShareOf(capacity);
            useByWorkspace.put(workspace.id(), use);
            WorkspaceSum sum = sumsByWorkspace.computeIfAbsent(workspace.id(), _id -> new WorkspaceSum());
            sum.share = workspace.share();
            sum.currentlyContending = cellFull[0] && workspace.waiting();
            Resources waitingDemand = waitingDemandByWorkspace.getOrDefault(workspace.id(), Resources.NONE);
            Resources reachableUse =
                    workspace.limits().maxUsage().min(workspace.used().plus(waitingDemand));
            double reachable = Math.min(workspace.share(), reachableUse.dominantShareOf(capacity));
            sum.currentShortfall = Math.max(0, reachable - use);
        });
        sample(atMs, useByWorkspace);
    }

    double packing() {
        return timeWithWaitingWorkMs == 0 ? 0 : packingMsSum / timeWithWaitingWorkMs;
    }

    /** Returns each workspace's mean shortfall while it contended for a full cell; 0 if it never did. */
    Map<String, Double> shareDistances() {
        Map<String, Double> distances = new TreeMap<>();
        sumsByWorkspace.forEach(
                (id, sum) -> distances.put(id, sum.contendedMs == 0 ? 0 : sum.shortfallMsSum / sum.contendedMs));
        return distances;
    }

    List<Sample> samples() {
        return List.copyOf(samples);
    }

    private void sample(long atMs, Map<String, Double> useByWorkspace) {
        if (atMs < nextSampleMs) {
            return;
        }
        samples.add(new Sample(atMs, currentPacking, Map.copyOf(useByWorkspace)));
        nextSampleMs = atMs + sampleIntervalMs;
        if (samples.size() > MAX_SAMPLES) {
            halveSamples();
        }
    }

    private void halveSamples() {
        List<Sample> kept = new ArrayList<>();
        for (int i = 0; i < samples.size(); i += 2) {
            kept.add(samples.get(i));
        }
        samples.clear();
        samples.addAll(kept);
        sampleIntervalMs *= 2;
    }
}
