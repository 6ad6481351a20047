package org.lovagegrade.replay.internal;

import java.util.HashSet;
import java.util.Set;

/** What a replay counts. */
final class ReplayCounts {
    final Set<String> setAside = new HashSet<>();
    long accepted;
    long refused;
    long placements;
    long ended;
    long preempted;
    long lostWorkMs;
}
