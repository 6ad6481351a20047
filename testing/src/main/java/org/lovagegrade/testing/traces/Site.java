package org.lovagegrade.testing.traces;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The size of a site.
 *
 * @param name its name
 * @param failureDomains its failure domains
 * @param workers how many workers it has
 * @param workersPerRack how many stand in a rack
 * @param cores the cores of a worker
 * @param memoryMb the memory of a worker, in megabytes
 * @param acceleratedWorkers how many of the workers have accelerators
 * @param acceleratorsPerWorker how many accelerators each of these has
 * @param teams its teams
 */
public record Site(
        String name,
        int failureDomains,
        int workers,
        int workersPerRack,
        int cores,
        int memoryMb,
        int acceleratedWorkers,
        int acceleratorsPerWorker,
        List<TeamShare> teams) {
    private static final int MB_PER_GB = 1_024;

    /**
     * A team and its share.
     *
     * @param id the team's id
     * @param share its share of a full cell
     */
    public record TeamShare(String id, double share) {}

    /**
     * The site of Ruta Norte.
     *
     * @return 30 workers of 16 cores in 4 failure domains
     */
    public static Site norte() {
        return new Site("norte", 4, 30, 6, 16, 64 * MB_PER_GB, 6, 2, sixTeams("taller"));
    }

    /**
     * The site of Tiangge.
     *
     * @return 30 workers of 32 cores in 3 failure domains
     */
    public static Site tiangge() {
        return new Site("tiangge", 3, 30, 8, 32, 128 * MB_PER_GB, 0, 0, sixTeams("bazaar"));
    }

    /**
     * The size in two years.
     *
     * @return 7,200 workers, 16,000 accelerators, 54 teams in 8 failure domains
     */
    public static Site large() {
        int teamCount = 54;
        List<TeamShare> teams = IntStream.range(0, teamCount)
                .mapToObj(i -> new TeamShare(String.format(Locale.ROOT, "team-%02d", i), 1.0 / teamCount))
                .toList();
        return new Site("large", 8, 7_200, 36, 32, 128 * MB_PER_GB, 2_000, 8, teams);
    }

    /**
     * Finds a site.
     *
     * @param name its name
     * @return the site, or empty
     */
    public static Optional<Site> named(String name) {
        return List.of(norte(), tiangge(), large()).stream()
                .filter(site -> site.name().equals(name))
                .findFirst();
    }

    private static List<TeamShare> sixTeams(String prefix) {
        return List.of(
                new TeamShare(prefix + "-1", 0.35),
                new TeamShare(prefix + "-2", 0.25),
                new TeamShare(prefix + "-3", 0.15),
                new TeamShare(prefix + "-4", 0.10),
                new TeamShare(prefix + "-5", 0.10),
                new TeamShare(prefix + "-6", 0.05));
    }
}
