package org.lovagegrade.replay.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.internal.EngineView;

/** Sums over time: packing while work waits, and what each team misses to its share while the cell is full. */
final class Measures {
    private static final int MOST_SAMPLES = 2_000;

    private final Map<String, TeamSum> teams = new TreeMap<>();
    private final List<Sample> samples = new ArrayList<>();
    private double packingMs;
    private long waitingMs;
    private long lastAtMs = -1;
    private double packingNow;
    private boolean waitingNow;
    private long nextSampleMs;
    private long sampleIntervalMs = 100;

    /** What a plot shows of one time. */
    record Sample(long atMs, double packing, Map<String, Double> useByTeam) {}

    /** The sums of one team. */
    private static final class TeamSum {
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
        for (TeamSum sum : teams.values()) {
            if (sum.countedNow) {
                sum.missingMs += sum.missingNow * passedMs;
                sum.countedMs += passedMs;
            }
        }
    }

    /** Notes the values that hold from now on. */
    void note(long atMs, EngineView view, Resources placed, boolean waiting, Map<String, Resources> wantedByTeam) {
        Resources living = view.living();
        packingNow = placed.dominantShareOf(living);
        waitingNow = waiting;
        boolean[] full = {false};
        view.forEachTeam(team -> full[0] |= team.waitsForRoom());
        Map<String, Double> uses = new HashMap<>();
        view.forEachTeam(team -> {
            double use = team.used().dominantShareOf(living);
            uses.put(team.id(), use);
            TeamSum sum = teams.computeIfAbsent(team.id(), _id -> new TeamSum());
            sum.share = team.share();
            sum.countedNow = full[0] && team.waiting();
            Resources wanted = wantedByTeam.getOrDefault(team.id(), Resources.NONE);
            Resources reachableUse = team.limits().most().min(team.used().plus(wanted));
            double reachable = Math.min(team.share(), reachableUse.dominantShareOf(living));
            sum.missingNow = Math.max(0, reachable - use);
        });
        sample(atMs, uses);
    }

    double packing() {
        return waitingMs == 0 ? 0 : packingMs / waitingMs;
    }

    /** The mean of what each team missed, for teams that ever waited in a full cell. */
    Map<String, Double> shareDistances() {
        Map<String, Double> distances = new TreeMap<>();
        teams.forEach((id, sum) -> distances.put(id, sum.countedMs == 0 ? 0 : sum.missingMs / sum.countedMs));
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
