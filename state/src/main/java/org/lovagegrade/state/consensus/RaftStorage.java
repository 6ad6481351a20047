package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/** What a replica keeps; writes last only once {@link #sync()} has returned. */
public interface RaftStorage {
    /** The term that {@link #termAt} gives for an entry that is not there. */
    long NO_TERM = -1;

    /**
     * The term and vote.
     *
     * @return the latest saved, or the default
     */
    HardStateProto hardState();

    /**
     * Saves the term and vote.
     *
     * @param state what to save
     */
    void saveHardState(HardStateProto state);

    /**
     * The index of the last entry.
     *
     * @return the index; that of the snapshot if there are no entries after it
     */
    long lastIndex();

    /**
     * The index of the first entry that is still there.
     *
     * @return the index after that of the snapshot, or lower
     */
    long firstIndex();

    /**
     * The term of an entry.
     *
     * @param index its index
     * @return the term, or {@link #NO_TERM}
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
     * Drops entries.
     *
     * @param index the first index to drop
     */
    void truncateFrom(long index);

    /**
     * Describes the latest snapshot.
     *
     * @return its description, with index 0 if there is none
     */
    SnapshotMetaProto snapshotMeta();

    /**
     * Reads a part of the latest snapshot.
     *
     * @param offset where to begin, in bytes
     * @param length how much to read at most, in bytes
     * @return the bytes, fewer at the end
     */
    ByteString snapshotChunk(long offset, int length);

    /**
     * Saves a snapshot and drops the entries that it covers; it lasts when this returns.
     *
     * @param meta describes it
     * @param data the state machine at that index
     */
    void saveSnapshot(SnapshotMetaProto meta, ByteString data);

    /** Makes all writes so far last. */
    void sync();
}
