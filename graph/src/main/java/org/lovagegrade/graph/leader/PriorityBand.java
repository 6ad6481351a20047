package org.lovagegrade.graph.leader;

/** A priority as a label of metrics, of which there may be only a few. */
enum PriorityBand {
    P0,
    P1,
    P2,
    P3_OR_LOWER;

    /** The band of a queue's priority, where a lower number goes first. */
    static PriorityBand of(int priority) {
        return switch (priority) {
            case 0 -> P0;
            case 1 -> P1;
            case 2 -> P2;
            default -> P3_OR_LOWER;
        };
    }
}
