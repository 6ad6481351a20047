package org.lovagegrade.state.consensus;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/** An in-memory storage that loses unsynced writes on a crash. */
final class MemoryStorage implements RaftStorage {
    private record Content(
            HardStateProto hardState, List<LogEntryProto> entries, SnapshotMetaProto meta, ByteString snapshot) {
        Content copy() {
            return new Content(hardState, new ArrayList<>(entries), meta, snapshot);
        }
    }

    private Content current = new Content(
            HardStateProto.getDefaultInstance(),
            new ArrayList<>(),
            SnapshotMetaProto.getDefaultInstance(),
            ByteString.EMPTY);
    private Content synced = current.copy();
    private boolean dirty;

    void crash() {
        current = synced.copy();
        dirty = false;
    }

    @Override
    public HardStateProto hardState() {
        return current.hardState();
    }

    @Override
    public void saveHardState(HardStateProto state) {
        current = new Content(state, current.entries(), current.meta(), current.snapshot());
        dirty = true;
    }

    @Override
    public long lastIndex() {
        return current.meta().getIndex() + current.entries().size();
    }

    @Override
    public long firstIndex() {
        return current.meta().getIndex() + 1;
    }

    @Override
    public long termAt(long index) {
        if (index == current.meta().getIndex()) {
            return current.meta().getTerm();
        }
        return index < firstIndex() || index > lastIndex()
                ? NO_TERM
                : entry(index).getTerm();
    }

    @Override
    public LogEntryProto entry(long index) {
        return current.entries().get((int) (index - firstIndex()));
    }

    @Override
    public void append(LogEntryProto entry) {
        current.entries().add(entry);
        dirty = true;
    }

    @Override
    public void truncateFrom(long index) {
        current.entries()
                .subList((int) (index - firstIndex()), current.entries().size())
                .clear();
        dirty = true;
    }

    @Override
    public SnapshotMetaProto snapshotMeta() {
        return current.meta();
    }

    @Override
    public ByteString snapshotChunk(long offset, int length) {
        int from = (int) Math.min(offset, current.snapshot().size());
        return current.snapshot().substring(from, Math.min(current.snapshot().size(), from + length));
    }

    @Override
    public void saveSnapshot(SnapshotMetaProto meta, ByteString data) {
        List<LogEntryProto> retained = new ArrayList<>();
        if (termAt(meta.getIndex()) == meta.getTerm()) {
            for (long index = meta.getIndex() + 1; index <= lastIndex(); index++) {
                retained.add(entry(index));
            }
        }
        current = new Content(current.hardState(), retained, meta, data);
        synced = current.copy();
        dirty = false;
    }

    @Override
    public void sync() {
        if (dirty) {
            synced = current.copy();
            dirty = false;
        }
    }
}
