package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.graph.machine.ResourceVector;

/** Predicts when and where all members of a gang will fit, by the expected ends of the runs on the workers. */
final class GangStartPrediction {
    private final GangRequest gang;
    private final long nowMs;
    private final List<Growth> growths = new ArrayList<>();

    /** A worker that can take {@code members} members in all from a time on, which is more than before. */
    private record Growth(CandidateWorker worker, long atMs, int members) {}

    private GangStartPrediction(GangRequest gang, long nowMs) {
        this.gang = gang;
        this.nowMs = nowMs;
    }

    /** Returns the earliest start of all members, or empty if the workers can't take them even without their runs. */
    static Optional<GangReservation> earliest(GangRequest gang, List<CandidateWorker> workers, long nowMs) {
        GangStartPrediction prediction = new GangStartPrediction(gang, nowMs);
        workers.stream().filter(gang::maySelect).forEach(prediction::addGrowths);
        return prediction.earliest();
    }

    private void addGrowths(CandidateWorker worker) {
        int limit = gang.limitOn(worker);
        ResourceVector free = worker.free();
        ResourceVector lasting = ResourceVector.NONE;
        int runs = worker.runs();
        int members = addGrowth(worker, nowMs, free, runs, 0);
        if (members == limit) {
            return;
        }
        for (CapacityRelease release : worker.releases()) {
            if (release.atMs() == CapacityRelease.NEVER) {
                lasting = lasting.plus(release.amount());
            } else {
                runs--;
                free = free.plus(release.amount());
                members = addGrowth(worker, Math.max(nowMs, release.atMs()), free, runs, members);
            }
        }
        ResourceVector freeAtEnd =
                ResourceVector.of(worker.info().getCapacity()).minus(lasting);
        addGrowth(worker, CapacityRelease.UNKNOWN, freeAtEnd, lasting.equals(ResourceVector.NONE) ? 0 : runs, members);
    }

    private int addGrowth(CandidateWorker worker, long atMs, ResourceVector free, int runs, int membersBefore) {
        boolean isOpen = !gang.needsEmptyWorkers() || runs == 0;
        int members = isOpen ? gang.perTask().timesInto(free, gang.limitOn(worker)) : 0;
        if (members > membersBefore) {
            growths.add(new Growth(worker, atMs, members));
            return members;
        }
        return membersBefore;
    }

    private Optional<GangReservation> earliest() {
        growths.sort(Comparator.comparingLong(Growth::atMs));
        Map<String, Growth> latestByWorker = new LinkedHashMap<>();
        int total = 0;
        for (Growth growth : growths) {
            Growth before = latestByWorker.put(growth.worker().id(), growth);
            total += growth.members() - (before == null ? 0 : before.members());
            if (total >= gang.members()) {
                return Optional.of(
                        new GangReservation(gang.step().name(), fewest(latestByWorker.values()), growth.atMs()));
            }
        }
        return Optional.empty();
    }

    /** Selects few workers, and reliable ones first. */
    private Map<String, Integer> fewest(Collection<Growth> available) {
        List<Growth> byMembers = new ArrayList<>(available);
        byMembers.sort(Comparator.<Growth>comparingInt(growth -> growth.worker().isUnreliable() ? 1 : 0)
                .thenComparingInt(growth -> -growth.members()));
        Map<String, Integer> selected = new LinkedHashMap<>();
        int missing = gang.members();
        for (Growth growth : byMembers) {
            if (missing > 0) {
                int members = Math.min(missing, growth.members());
                selected.put(growth.worker().id(), members);
                missing -= members;
            }
        }
        return selected;
    }
}
