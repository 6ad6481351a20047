package org.lovagegrade.state.machine.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.RememberedOutcomeProto;

/** The first answer to each request id, for resends; bounded by age and number. */
public final class OutcomeMemory {
    private static final long KEPT_MS = 24L * 60 * 60 * 1_000;
    private static final int KEPT_AT_MOST = 60_000;

    private final Map<String, RememberedOutcomeProto> byRequest = new LinkedHashMap<>();

    /**
     * The first answer to a request.
     *
     * @param requestId the request's id
     * @return the answer, or empty if there was none
     */
    public Optional<OutcomeProto> find(String requestId) {
        return Optional.ofNullable(byRequest.get(requestId)).map(RememberedOutcomeProto::getOutcome);
    }

    /**
     * Remembers an answer.
     *
     * @param requestId the request's id
     * @param atMs the time of the command, in milliseconds since the epoch
     * @param outcome the answer
     */
    public void remember(String requestId, long atMs, OutcomeProto outcome) {
        byRequest.put(
                requestId,
                RememberedOutcomeProto.newBuilder()
                        .setRequestId(requestId)
                        .setAtMs(atMs)
                        .setOutcome(outcome)
                        .build());
        Iterator<RememberedOutcomeProto> oldest = byRequest.values().iterator();
        while (oldest.hasNext() && (oldest.next().getAtMs() < atMs - KEPT_MS || byRequest.size() > KEPT_AT_MOST)) {
            oldest.remove();
        }
    }

    /**
     * All that is remembered.
     *
     * @return the oldest first
     */
    public List<RememberedOutcomeProto> all() {
        return new ArrayList<>(byRequest.values());
    }

    /**
     * Takes over a snapshot.
     *
     * @param outcomes the oldest first
     */
    public void restore(List<RememberedOutcomeProto> outcomes) {
        outcomes.forEach(outcome -> byRequest.put(outcome.getRequestId(), outcome));
    }
}
