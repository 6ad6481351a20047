package org.lovagegrade.graph.leader;

import org.lovagegrade.graph.machine.RunRecord;

/** How far the orders for one run have come. */
final class RunOrder {
    /** The states of a run as its leader sees them. */
    enum Phase {
        /** The start is to be sent, or its answer is awaited. */
        STARTING,
        /** The worker has confirmed the start. */
        CONFIRMED,
        /** The worker refused the start or has never listed it; the next listing tells whether it ever ran. */
        VERIFYING,
        /** The worker has confirmed a stop; its end is to be listed. */
        STOPPING,
        /** The end is proposed. */
        ENDING
    }

    final RunRecord run;
    final String ticket;
    Phase phase;
    boolean inFlight;
    boolean inDoubt;
    boolean stopWanted;
    long nextTryMs;
    /** A listing asked for at this time or later tells the truth about the present phase. */
    long listedFromMs;
    /** The latest checkpoint that the worker listed. */
    String checkpoint = "";

    /** For how long listings have shown the same progress, in milliseconds. */
    long listedStillMs;

    private int percent = -1;
    private long percentSinceMs;

    RunOrder(RunRecord run, String ticket, Phase phase, long nowMs) {
        this.run = run;
        this.ticket = ticket;
        this.phase = phase;
        this.percentSinceMs = nowMs;
    }

    /** Takes note of the progress in a listing. */
    void listed(int listedPercent, long nowMs) {
        if (listedPercent != percent) {
            percent = listedPercent;
            percentSinceMs = nowMs;
        }
        listedStillMs = nowMs - percentSinceMs;
    }
}
