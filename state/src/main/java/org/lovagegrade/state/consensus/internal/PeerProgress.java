package org.lovagegrade.state.consensus.internal;

/** The leader's view of how far one follower has replicated the log. */
public final class PeerProgress {
    /** The index of the next entry to send. */
    public long nextIndex;

    /** The highest index up to which the follower's log is known to match the leader's. */
    public long matchIndex;

    /** When the latest message that the follower has answered was sent, in milliseconds on the leader's clock. */
    public long ackedSentAtMs;

    /** The offset of the next chunk of a snapshot, in bytes. */
    public long snapshotOffset;

    /** The index of the snapshot being sent, or 0. */
    public long snapshotIndex;

    /** When the last chunk was sent, in milliseconds on the leader's clock; 0 if no chunk is awaiting its reply. */
    public long snapshotSentAtMs;

    /**
     * Creates the progress of a follower whose log is unknown; it counts as last responsive now.
     *
     * @param nextIndex the index to try first
     * @param nowMs the current time in milliseconds
     */
    public PeerProgress(long nextIndex, long nowMs) {
        this.nextIndex = nextIndex;
        this.ackedSentAtMs = nowMs;
    }
}
