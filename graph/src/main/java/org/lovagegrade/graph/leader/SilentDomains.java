package org.lovagegrade.graph.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects failure domains that are probably cut off: several of their workers have an overdue start, and none of their
 * workers has answered recently. A start sent there would stay in doubt until the worker's lease expires, so no worker
 * of such a domain gets starts until one of them answers.
 */
final class SilentDomains {
    /** A single overdue worker may have a fault of its own. */
    private static final int LEAST_LATE_WORKERS = 2;

    private SilentDomains() {}

    /** Returns the unresponsive failure domains of the given workers. */
    static Set<String> among(Collection<WorkerSession> sessions, long nowMs) {
        Map<String, Integer> late = new HashMap<>();
        Set<String> heard = new HashSet<>();
        for (WorkerSession session : sessions) {
            String domain = session.info().getFailureDomain();
            if (session.isLate(nowMs)) {
                late.merge(domain, 1, Integer::sum);
            }
            if (session.isHeard(nowMs)) {
                heard.add(domain);
            }
        }
        late.keySet().removeAll(heard);
        late.values().removeIf(workers -> workers < LEAST_LATE_WORKERS);
        return late.keySet();
    }
}
