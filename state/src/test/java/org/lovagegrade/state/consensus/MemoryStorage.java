package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/** A storage in memory that loses on a crash what was not synced. */
final class MemoryStorage implements RaftStorage {
    private record Content(
            HardStateProto hardState, List<LogEntryProto> entries, SnapshotMetaProto meta, ByteString snapshot) {
        Content copy() {
            return new Content(hardState, new ArrayList<>(entries), meta, snapshot);
        }
    }

    private Content present = new Content(
            HardStateProto.getDefaultInstance(),
            new ArrayList<>(),
            SnapshotMetaProto.getDefaultInstance(),
            ByteString.EMPTY);
    private Content synced = present.copy();
    private boolean dirty;

    void crash() {
        present = synced.copy();
        dirty = false;
    }

    @Override
    public HardStateProto hardState() {
        return present.hardState();
    }

    @Override
    public void saveHardState(HardStateProto state) {
        present = new Content(state, present.entries(), present.meta(), present.snapshot());
        dirty = true;
    }

    @Override
    public long lastIndex() {
        return present.meta().getIndex() + present.entries().size();
    }

    @Override
    public long firstIndex() {
        return present.meta().getIndex() + 1;
    }

    @Override
    public long termAt(long index) {
        if (index == present.meta().getIndex()) {
            return present.meta().getTerm();
        }
        return index < firstIndex() || index > lastIndex()
                ? NO_TERM
                : entry(index).getTerm();
    }

    @Override
    public LogEntryProto entry(long index) {
        return present.entries().get((int) (index - firstIndex()));
    }

    @Override
    public void append(LogEntryProto entry) {
        present.entries().add(entry);
        dirty = true;
    }

    @Override
    public void truncateFrom(long index) {
        present.entries()
                .subList((int) (index - firstIndex()), present.entries().size())
                .clear();
        dirty = true;
    }

    @Override
    public SnapshotMetaProto snapshotMeta() {
        return present.meta();
    }

    @Override
    public ByteString snapshotChunk(long offset, int length) {
        int from = (int) Math.min(offset, present.snapshot().size());
        return present.snapshot().substring(from, Math.min(present.snapshot().size(), from + length));
    }

    @Override
    public void saveSnapshot(SnapshotMetaProto meta, ByteString data) {
        List<LogEntryProto> kept = new ArrayList<>();
        if (termAt(meta.getIndex()) == meta.getTerm()) {
            for (long index = meta.getIndex() + 1; index <= lastIndex(); index++) {
                kept.add(entry(index));
            }
        }
        present = new Content(present.hardState(), kept, meta, data);
        synced = present.copy();
        dirty = false;
    }

    @Override
    public void sync() {
        if (dirty) {
            synced = present.copy();
            dirty = false;
        }
    }
}
