package org.lovagegrade.graph.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Failure domains that seem cut off: several of their workers leave starts unanswered, and none has said a word
 * meanwhile. A start sent there would be in doubt until the worker's lease has passed, so the rest of the domain's
 * workers get none either until one of them is heard.
 */
final class SilentDomains {
    /** One late worker may be a fault of its own. */
    private static final int LEAST_LATE_WORKERS = 2;

    private SilentDomains() {}

    /** Finds them among the workers that a leader drives. */
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
