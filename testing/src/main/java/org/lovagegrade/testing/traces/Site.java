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
 * @param workspaces its workspaces
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
        List<WorkspaceShare> workspaces) {
    private static final int MB_PER_GB = 1_024;

    /**
     * A workspace and its share.
     *
     * @param id the workspace's id
     * @param share its share of a full cell
     */
    public record WorkspaceShare(String id, double share) {}

    /**
     * The site of Ruta Norte.
     *
     * @return 30 workers of 16 cores in 4 failure domains
     */
    public static Site norte() {
        return new Site("norte", 4, 30, 6, 16, 64 * MB_PER_GB, 6, 2, sixWorkspaces("taller"));
    }

    /**
     * The site of Tiangge.
     *
     * @return 30 workers of 32 cores in 3 failure domains
     */
    public static Site tiangge() {
        return new Site("tiangge", 3, 30, 8, 32, 128 * MB_PER_GB, 0, 0, sixWorkspaces("bazaar"));
    }

    /**
     * The size in two years.
     *
     * @return 7,200 workers, 16,000 accelerators, 54 workspaces in 8 failure domains
     */
    public static Site large() {
        int workspaceCount = 54;
        List<WorkspaceShare> workspaces = IntStream.range(0, workspaceCount)
                .mapToObj(i -> new WorkspaceShare(String.format(Locale.ROOT, "team-%02d", i), 1.0 / workspaceCount))
                .toList();
        return new Site("large", 8, 7_200, 36, 32, 128 * MB_PER_GB, 2_000, 8, workspaces);
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

    private static List<WorkspaceShare> sixWorkspaces(String prefix) {
        return List.of(
                new WorkspaceShare(prefix + "-1", 0.35),
                new WorkspaceShare(prefix + "-2", 0.25),
                new WorkspaceShare(prefix + "-3", 0.15),
                new WorkspaceShare(prefix + "-4", 0.10),
                new WorkspaceShare(prefix + "-5", 0.10),
                new WorkspaceShare(prefix + "-6", 0.05));
    }
}
