package org.lovagegrade.replay.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.internal.EngineView;

/** Sums over time: packing while work waits, and what each workspace misses to its share while the cell is full. */
final class Measures {
    private static final int MOST_SAMPLES = 2_000;

    private final Map<String, WorkspaceSum> workspaces = new TreeMap<>();
    private final List<Sample> samples = new ArrayList<>();
    private double packingMs;
    private long waitingMs;
    private long lastAtMs = -1;
    private double packingNow;
    private boolean waitingNow;
    private long nextSampleMs;
    private long sampleIntervalMs = 100;

    /** What a plot shows of one time. */
    record Sample(long atMs, double packing, Map<String, Double> useByWorkspace) {}

    /** The sums of one workspace. */
    private static final class WorkspaceSum {
        private double share;
        private double missingMs;
        private long countedMs;
        private double missingNow;
        private boolean countedNow;
    }

    /** Counts the time since the last call at the values noted then. */
    void advanceTo(long atMs) {
        long passedMs = lastAtMs < 0 ? 0 : atMs - lastAtMs;
        lastAtMs = atMs;
        if (passedMs <= 0) {
            return;
        }
        if (waitingNow) {
            packingMs += packingNow * passedMs;
            waitingMs += passedMs;
        }
        for (WorkspaceSum sum : workspaces.values()) {
            if (sum.countedNow) {
                sum.missingMs += sum.missingNow * passedMs;
                sum.countedMs += passedMs;
            }
        }
    }

    /** Notes the values that hold from now on. */
    void note(long atMs, EngineView view, Resources placed, boolean waiting, Map<String, Resources> wantedByWorkspace) {
        Resources living = view.responsiveCapacity();
        packingNow = placed.dominantShareOf(living);
        waitingNow = waiting;
        boolean[] full = {false};
        view.forEachWorkspace(workspace -> full[0] |= workspace.waitsForCapacity());
        Map<String, Double> uses = new HashMap<>();
        view.forEachWorkspace(workspace -> {
            double use = workspace.used().dominantShareOf(living);
            uses.put(workspace.id(), use);
            WorkspaceSum sum = workspaces.computeIfAbsent(workspace.id(), _id -> new WorkspaceSum());
            sum.share = workspace.share();
            sum.countedNow = full[0] && workspace.waiting();
            Resources wanted = wantedByWorkspace.getOrDefault(workspace.id(), Resources.NONE);
            Resources reachableUse =
                    workspace.limits().maxUsage().min(workspace.used().plus(wanted));
            double reachable = Math.min(workspace.share(), reachableUse.dominantShareOf(living));
            sum.missingNow = Math.max(0, reachable - use);
        });
        sample(atMs, uses);
    }

    double packing() {
        return waitingMs == 0 ? 0 : packingMs / waitingMs;
    }

    /** The mean of what each workspace missed, for workspaces that ever waited in a full cell. */
    Map<String, Double> shareDistances() {
        Map<String, Double> distances = new TreeMap<>();
        workspaces.forEach((id, sum) -> distances.put(id, sum.countedMs == 0 ? 0 : sum.missingMs / sum.countedMs));
        return distances;
    }

    List<Sample> samples() {
        return List.copyOf(samples);
    }

    private void sample(long atMs, Map<String, Double> uses) {
        if (atMs < nextSampleMs) {
            return;
        }
        samples.add(new Sample(atMs, packingNow, Map.copyOf(uses)));
        nextSampleMs = atMs + sampleIntervalMs;
        if (samples.size() > MOST_SAMPLES) {
            thinOut();
        }
    }

    private void thinOut() {
        List<Sample> kept = new ArrayList<>();
        for (int i = 0; i < samples.size(); i += 2) {
            kept.add(samples.get(i));
        }
        samples.clear();
        samples.addAll(kept);
        sampleIntervalMs *= 2;
    }
}
