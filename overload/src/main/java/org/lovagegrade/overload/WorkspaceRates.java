package org.lovagegrade.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which items are within the share of their workspace: a token bucket for each workspace that gains its weight in
 * items a second.
 *
 * <p>Example: {@code boolean withinShare = rates.take("team-a", weight, nowMs);}
 */
public final class WorkspaceRates {
    /** A bucket holds the items of one second, and at least one. */
    private static final double BURST_S = 1;

    private static final double MIN_BURST = 1;
    private static final double MS_PER_S = 1_000;

    private final Map<String, Bucket> buckets = new HashMap<>();

    private record Bucket(double tokens, long filledAtMs) {}

    /**
     * Counts an item of a workspace.
     *
     * @param workspace the name of the workspace
     * @param weight the items a second that it is entitled to; 0 for none
     * @param nowMs when the item was submitted, in milliseconds since 1970; an earlier time than the last counts as that
     * @return true if the item is within the share
     */
    public boolean take(String workspace, double weight, long nowMs) {
        if (weight <= 0) {
            return false;
        }
        Bucket bucket = filled(workspace, weight, nowMs);
        boolean isWithinShare = bucket.tokens() >= 1;
        buckets.put(workspace, isWithinShare ? new Bucket(bucket.tokens() - 1, bucket.filledAtMs()) : bucket);
        return isWithinShare;
    }

    /**
     * Whether the next item of a workspace would be within the share; counts nothing.
     *
     * @param workspace the name of the workspace
     * @param weight the items a second that it is entitled to; 0 for none
     * @param nowMs the present time, in milliseconds since 1970
     * @return true if {@link #take} would return true
     */
    public boolean isWithinShare(String workspace, double weight, long nowMs) {
        return weight > 0 && filled(workspace, weight, nowMs).tokens() >= 1;
    }

    private Bucket filled(String workspace, double weight, long nowMs) {
        double burst = Math.max(MIN_BURST, weight * BURST_S);
        Bucket bucket = buckets.getOrDefault(workspace, new Bucket(burst, nowMs));
        long elapsedMs = Math.max(0, nowMs - bucket.filledAtMs());
        return new Bucket(
                Math.min(burst, bucket.tokens() + elapsedMs * weight / MS_PER_S), bucket.filledAtMs() + elapsedMs);
    }
}
