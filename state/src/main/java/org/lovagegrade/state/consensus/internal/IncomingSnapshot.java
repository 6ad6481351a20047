package org.lovagegrade.state.consensus.internal;

import com.google.protobuf.ByteString;
import org.lovagegrade.wire.proto.SnapshotChunkProto;

/** Assembles a snapshot from the chunks that the leader sends. */
public final class IncomingSnapshot {
    private ByteString received = ByteString.EMPTY;
    private long index;

    /**
     * Adds a chunk if it is the next one and ignores it otherwise; a chunk of another snapshot discards the chunks so
     * far.
     *
     * @param chunk the chunk
     * @return true if the snapshot is now complete
     */
    public boolean add(SnapshotChunkProto chunk) {
        if (index != chunk.getMeta().getIndex()) {
            index = chunk.getMeta().getIndex();
            received = ByteString.EMPTY;
        }
        if (chunk.getOffset() != received.size()) {
            return false;
        }
        received = received.concat(chunk.getData());
        return chunk.getLast();
    }

    /**
     * The offset of the next expected chunk.
     *
     * @return the offset in bytes
     */
    public long nextOffset() {
        return received.size();
    }

    /**
     * Removes and returns the complete snapshot.
     *
     * @return its data
     */
    public ByteString take() {
        ByteString complete = received;
        received = ByteString.EMPTY;
        index = 0;
        return complete;
    }
}
