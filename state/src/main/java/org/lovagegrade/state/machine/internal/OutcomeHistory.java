package org.lovagegrade.state.machine.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.RememberedOutcomeProto;

/** The first outcome of each request id, for requests that are sent again; bounded by age and by number. */
public final class OutcomeHistory {
    private static final long RETENTION_MS = 24L * 60 * 60 * 1_000;
    private static final int MAX_OUTCOMES = 60_000;

    private final Map<String, RememberedOutcomeProto> byRequest = new LinkedHashMap<>();

    /**
     * Returns the first outcome of a request.
     *
     * @param requestId the request's id
     * @return the outcome, or empty if the request is unknown or its outcome has expired
     */
    public Optional<OutcomeProto> find(String requestId) {
        return Optional.ofNullable(byRequest.get(requestId)).map(RememberedOutcomeProto::getOutcome);
    }

    /**
     * Adds an outcome and removes the oldest ones beyond the bounds.
     *
     * @param requestId the request's id
     * @param atMs the time of the command, in milliseconds since the epoch
     * @param outcome the outcome
     */
    public void add(String requestId, long atMs, OutcomeProto outcome) {
        byRequest.put(
                requestId,
                RememberedOutcomeProto.newBuilder()
                        .setRequestId(requestId)
                        .setAtMs(atMs)
                        .setOutcome(outcome)
                        .build());
        Iterator<RememberedOutcomeProto> oldest = byRequest.values().iterator();
        while (oldest.hasNext() && (oldest.next().getAtMs() < atMs - RETENTION_MS || byRequest.size() > MAX_OUTCOMES)) {
            oldest.remove();
        }
    }

    /**
     * Returns all outcomes.
     *
     * @return the outcomes, the oldest first
     */
    public List<RememberedOutcomeProto> all() {
        return new ArrayList<>(byRequest.values());
    }

    /**
     * Restores the outcomes from a snapshot.
     *
     * @param outcomes the outcomes, the oldest first
     */
    public void restore(List<RememberedOutcomeProto> outcomes) {
        outcomes.forEach(outcome -> byRequest.put(outcome.getRequestId(), outcome));
    }
}
