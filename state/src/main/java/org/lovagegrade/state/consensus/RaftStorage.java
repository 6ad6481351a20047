package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/** The persistent state of a replica; writes are durable only once {@link #sync()} has returned. */
public interface RaftStorage {
    /** The term that {@link #termAt} returns for an entry that doesn't exist. */
    long NO_TERM = -1;

    /**
     * The current term and vote.
     *
     * @return the latest saved, or the default instance
     */
    HardStateProto hardState();

    /**
     * Saves the current term and vote.
     *
     * @param state the term and vote
     */
    void saveHardState(HardStateProto state);

    /**
     * The index of the last entry.
     *
     * @return the index; that of the snapshot if there are no entries after it, 0 if there is neither
     */
    long lastIndex();

    /**
     * The index of the first entry that hasn't been compacted.
     *
     * @return the index after that of the snapshot, or lower
     */
    long firstIndex();

    /**
     * The term of an entry.
     *
     * @param index its index
     * @return the term; {@link #NO_TERM} if there is no such entry and the snapshot doesn't end at the index
     */
    long termAt(long index);

    /**
     * Reads an entry.
     *
     * @param index from {@link #firstIndex()} to {@link #lastIndex()}
     * @return the entry
     */
    LogEntryProto entry(long index);

    /**
     * Appends an entry.
     *
     * @param entry the entry, with the index after the last
     */
    void append(LogEntryProto entry);

    /**
     * Removes all entries from an index on.
     *
     * @param index the first index to remove
     */
    void truncateFrom(long index);

    /**
     * The metadata of the latest snapshot.
     *
     * @return its last included index, term and membership; index 0 if there is no snapshot
     */
    SnapshotMetaProto snapshotMeta();

    /**
     * Reads a chunk of the latest snapshot.
     *
     * @param offset the offset of the chunk, in bytes
     * @param length the maximum length of the chunk, in bytes
     * @return the chunk, shorter than {@code length} at the end of the snapshot
     */
    ByteString snapshotChunk(long offset, int length);

    /**
     * Saves a snapshot and removes the entries that it covers; this is durable on return, without a sync.
     *
     * @param meta the snapshot's last included index, term and membership
     * @param data the serialized state machine at that index
     */
    void saveSnapshot(SnapshotMetaProto meta, ByteString data);

    /** Makes all writes so far durable. */
    void sync();
}
