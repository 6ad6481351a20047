package org.lovagegrade.graph.leader;

/** Why an incarnation of a worker is removed. */
enum WorkerRemovalReason {
    /** An order was refused by another incarnation at the worker's address. */
    OTHER_LIFE("otherLife", true),
    /** The worker listed its runs as another incarnation. */
    REBORN("reborn", true),
    /** Another incarnation reported itself, and this one doesn't answer although its lease has expired. */
    REPLACED("replaced", true),
    /** The worker announced its end and is gone. */
    LEFT("left", false),
    /** The worker has been silent for long. */
    SILENT("silent", false);

    private final String logName;
    private final boolean provesRestart;

    WorkerRemovalReason(String logName, boolean provesRestart) {
        this.logName = logName;
        this.provesRestart = provesRestart;
    }

    String logName() {
        return logName;
    }

    /** Whether another incarnation is known to have started, so that nothing of this one runs any more. */
    boolean provesRestart() {
        return provesRestart;
    }
}
