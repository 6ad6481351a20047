package org.lovagegrade.graph.machine;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.EvacuationOrderProto;
import org.lovagegrade.wire.proto.GraphSnapshotProto;

/**
 * The last order about each failure domain. An order applies only to the version that its sender knew, so that a copy
 * that was delayed on its way doesn't revoke a later order.
 */
public final class Evacuations {
    private final Map<String, Evacuation> lastByDomain = new TreeMap<>();
    private long lastVersion;

    Evacuations() {}

    /** The effect of an order that was applied. */
    enum Outcome {
        /** The failure domain is evacuated from now on, or in service again. */
        CHANGED,
        /** The failure domain was in the requested state already. */
        UNCHANGED,
        /** A later order about the failure domain requests the opposite. */
        SUPERSEDED
    }

    /**
     * Whether nothing may be started in a failure domain.
     *
     * @param failureDomain its name
     * @return true if the last order about it evacuates it
     */
    public boolean isEvacuated(String failureDomain) {
        Evacuation last = lastByDomain.get(failureDomain);
        return last != null && last.isActive();
    }

    /**
     * Finds the last order about a failure domain.
     *
     * @param failureDomain its name
     * @return the order, or empty if there was none
     */
    public Optional<Evacuation> last(String failureDomain) {
        return Optional.ofNullable(lastByDomain.get(failureDomain));
    }

    /**
     * The last orders about all failure domains.
     *
     * @return the orders by the names of the failure domains
     */
    public Collection<Evacuation> all() {
        return Collections.unmodifiableCollection(lastByDomain.values());
    }

    /** Applies an order that was committed at {@code nowMs}. */
    Outcome apply(EvacuationOrderProto order, long nowMs) {
        String domain = order.getFailureDomain();
        if (isEvacuated(domain) == order.getActive()) {
            return Outcome.UNCHANGED;
        }
        long currentVersion = last(domain).map(Evacuation::version).orElse(0L);
        if (order.getBaseVersion() != currentVersion) {
            return Outcome.SUPERSEDED;
        }
        lastVersion++;
        lastByDomain.put(domain, new Evacuation(domain, order.getActive(), lastVersion, nowMs));
        return Outcome.CHANGED;
    }

    void writeTo(GraphSnapshotProto.Builder snapshot) {
        lastByDomain.values().forEach(last -> snapshot.addEvacuations(last.toProto()));
    }

    void restore(GraphSnapshotProto snapshot) {
        lastByDomain.clear();
        lastVersion = 0;
        snapshot.getEvacuationsList().forEach(proto -> {
            lastByDomain.put(proto.getFailureDomain(), Evacuation.of(proto));
            lastVersion = Math.max(lastVersion, proto.getVersion());
        });
    }
}
