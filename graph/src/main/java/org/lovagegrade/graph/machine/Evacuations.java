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
 * that was delayed on its way doesn't revoke a later order. An order that repeats the last one gets a new version too,
 * since copies of the opposite order may be on their way.
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
        boolean isChange = isEvacuated(domain) != order.getActive();
        Optional<Evacuation> last = last(domain);
        if (order.getBaseVersion() != last.map(Evacuation::version).orElse(0L)) {
            return isChange ? Outcome.SUPERSEDED : Outcome.UNCHANGED;
        }
        lastVersion++;
        long sinceMs = isChange ? nowMs : last.map(Evacuation::sinceMs).orElse(nowMs);
        lastByDomain.put(domain, new Evacuation(domain, order.getActive(), lastVersion, sinceMs));
        return isChange ? Outcome.CHANGED : Outcome.UNCHANGED;
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
