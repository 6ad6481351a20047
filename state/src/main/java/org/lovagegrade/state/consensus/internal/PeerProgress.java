package org.lovagegrade.state.consensus.internal;

/** What a leader knows of one follower. */
public final class PeerProgress {
    /** The index of the next entry to send. */
    public long nextIndex;

    /** The index up to which the follower's log is known to agree. */
    public long matchIndex;

    /** When the latest message that the follower answered was sent, on the leader's clock. */
    public long ackedSentAtMs;

    /** The offset of the next chunk of a snapshot, in bytes. */
    public long snapshotOffset;

    /** The index of the snapshot being sent, or 0. */
    public long snapshotIndex;

    /** When the last chunk was sent, on the leader's clock. */
    public long snapshotSentAtMs;

    /**
     * Begins with a follower of which nothing is known.
     *
     * @param nextIndex the index to try first
     * @param nowMs the present time in milliseconds
     */
    public PeerProgress(long nextIndex, long nowMs) {
        this.nextIndex = nextIndex;
        this.ackedSentAtMs = nowMs;
    }
}
