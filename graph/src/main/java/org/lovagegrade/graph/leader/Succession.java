package org.lovagegrade.graph.leader;

import java.util.Set;
import java.util.function.Function;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.RunLossProto;

/** How far the leader has settled what became of an incarnation's runs, since another one answers under its id. */
final class Succession {
    /** When the other incarnation was first seen, on the monotonic clock in milliseconds. */
    final long sinceMs;
    /** The losses of the runs that are over, by what was known when the other incarnation was first seen. */
    final Function<RunTracker, RunLossProto> losses;

    /** The other incarnation was asked for its runs, and its answer is awaited. */
    boolean inFlight;

    long nextSendMs;
    /** The start of the incarnation that has listed its runs, in milliseconds since 1970; 0 before. */
    long bornMs;
    /** The runs that it has accepted in place of the former one. */
    Set<RunKey> adopted = Set.of();

    Succession(long sinceMs, Function<RunTracker, RunLossProto> losses) {
        this.sinceMs = sinceMs;
        this.losses = losses;
    }

    /** Whether the other incarnation has listed its runs under a token that no order to the former one carries. */
    boolean isSettled() {
        return bornMs != 0;
    }
}
