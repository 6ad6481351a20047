package org.lovagegrade.replay.internal;

import java.util.HashSet;
import java.util.Set;

/** The counters of a replay. */
final class ReplayCounts {
    final Set<String> unschedulable = new HashSet<>();
    long accepted;
    long refused;
    long placements;
    long ended;
    long preempted;
    long lostWorkMs;
}
