package org.lovagegrade.graph.client;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.wire.proto.AdviceResultProto;

/**
 * Results of questions that no leader has acknowledged. They are reported again after a failed poll, since the adviser's
 * time is spent: the leader ignores a result that it has already received, or whose question another leader asked.
 */
final class UnreportedResults {
    /** A leader ignores older results. */
    private static final long MAX_AGE_MS = 5_000;

    private final List<Result> results = new ArrayList<>();

    /** A result with the time at which the adviser's answer was received. */
    private record Result(AdviceResultProto proto, long receivedAtMs) {}

    void add(AdviceResultProto result, long receivedAtMs) {
        results.add(new Result(result, receivedAtMs));
    }

    /** Returns the results that are not too old, each with its age at the given time. */
    List<AdviceResultProto> withAges(long nowMs) {
        results.removeIf(result -> result.receivedAtMs() + MAX_AGE_MS < nowMs);
        return results.stream()
                .map(result -> result.proto().toBuilder()
                        .setAgeMs(nowMs - result.receivedAtMs())
                        .build())
                .toList();
    }

    /** Removes all results, after a leader has received them. */
    void clear() {
        results.clear();
    }
}
