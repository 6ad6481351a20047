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
final class UnresponsiveDomains {
    /** A single overdue worker may have a fault of its own. */
    private static final int MIN_OVERDUE_WORKERS = 2;

    private UnresponsiveDomains() {}

    /** Returns the unresponsive failure domains of the given workers. */
    static Set<String> among(Collection<WorkerSession> sessions, long nowMs) {
        Map<String, Integer> overdueByDomain = new HashMap<>();
        Set<String> responsiveDomains = new HashSet<>();
        for (WorkerSession session : sessions) {
            String domain = session.info().getFailureDomain();
            if (session.isStartOverdue(nowMs)) {
                overdueByDomain.merge(domain, 1, Integer::sum);
            }
            if (session.isResponsive(nowMs)) {
                responsiveDomains.add(domain);
            }
        }
        overdueByDomain.keySet().removeAll(responsiveDomains);
        overdueByDomain.values().removeIf(workers -> workers < MIN_OVERDUE_WORKERS);
        return overdueByDomain.keySet();
    }
}
