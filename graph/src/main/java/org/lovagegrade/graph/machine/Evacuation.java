package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.EvacuationStateProto;

/**
 * The last order about a failure domain.
 *
 * @param failureDomain the name of the failure domain
 * @param isActive whether nothing may be started there; false once the failure domain was returned to service
 * @param version the number of orders about all failure domains that were applied up to this one; above 0
 * @param sinceMs when the failure domain got into this state, in milliseconds since the Unix epoch
 */
public record Evacuation(String failureDomain, boolean isActive, long version, long sinceMs) {
    /**
     * Converts the order to its message.
     *
     * @return the message
     */
    public EvacuationStateProto toProto() {
        return EvacuationStateProto.newBuilder()
                .setFailureDomain(failureDomain)
                .setActive(isActive)
                .setVersion(version)
                .setSinceMs(sinceMs)
                .build();
    }

    static Evacuation of(EvacuationStateProto proto) {
        return new Evacuation(proto.getFailureDomain(), proto.getActive(), proto.getVersion(), proto.getSinceMs());
    }
}
