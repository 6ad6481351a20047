package org.lovagegrade.state.consensus.internal;

import com.google.protobuf.ByteString;
import org.lovagegrade.wire.proto.SnapshotChunkProto;

/** The chunks of a snapshot as they come from the leader. */
public final class IncomingSnapshot {
    private ByteString received = ByteString.EMPTY;
    private long index;

    /**
     * Adds a chunk if it is the next one; a chunk of another snapshot begins anew.
     *
     * @param chunk the chunk
     * @return true if the snapshot is whole now
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
     * Where the next chunk begins.
     *
     * @return the offset in bytes
     */
    public long nextOffset() {
        return received.size();
    }

    /**
     * Takes the whole snapshot out.
     *
     * @return its data
     */
    public ByteString take() {
        ByteString whole = received;
        received = ByteString.EMPTY;
        index = 0;
        return whole;
    }
}
