package org.lovagegrade.state.log;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.lovagegrade.state.consensus.RaftStorage;
import org.lovagegrade.state.log.internal.DurableFiles;
import org.lovagegrade.state.log.internal.RecordFile;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.LogRecordProto;
import org.lovagegrade.wire.proto.MembershipProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

/**
 * A replica's log and snapshots in one folder. One log file is in use at a time; each snapshot starts a new one with
 * the entries that it doesn't cover, and the old log and snapshot files are deleted.
 *
 * <p>Example: {@code DurableLog log = DurableLog.open(folder); log.append(entry); log.sync();}
 */
public final class DurableLog implements RaftStorage, AutoCloseable {
    private static final String LOG_PREFIX = "log-";
    private static final String SNAPSHOT_PREFIX = "snapshot-";
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileChannel lockChannel;
    private final List<LogEntryProto> entries = new ArrayList<>();
    private RecordFile file;
    private long fileNumber;
    private HardStateProto hardState = HardStateProto.getDefaultInstance();
    private SnapshotMetaProto snapshotMeta = SnapshotMetaProto.getDefaultInstance();
    private boolean dirty;

    private DurableLog(Path folder, FileChannel lockChannel) {
        this.folder = folder;
        this.lockChannel = lockChannel;
    }

    /**
     * Opens the log in a folder, which is created if missing.
     *
     * @param folder the data folder
     * @return the log; a torn tail has been truncated
     * @throws CorruptLogException if a file is damaged in another way; no log file is changed then
     * @throws IllegalStateException if another process has the folder open
     */
    public static DurableLog open(Path folder) throws CorruptLogException {
        try {
            Files.createDirectories(folder);
            FileChannel lockChannel =
                    FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock lock = lockChannel.tryLock();
            if (lock == null) {
                throw new IllegalStateException(
                        "expected: a data folder that no other process uses\n  actual: " + folder + " is in use");
            }
            DurableLog log = new DurableLog(folder, lockChannel);
            log.load();
            return log;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Formats the log for a new group: durably writes the first term and an entry with the initial membership.
     *
     * @param voters the ids of the initial voters; the same on each of them
     * @throws IllegalStateException if the log isn't empty
     */
    public void format(List<String> voters) {
        if (lastIndex() != 0) {
            throw new IllegalStateException("expected: an empty log\n  actual: last index " + lastIndex());
        }
        saveHardState(HardStateProto.newBuilder().setTerm(1).build());
        append(LogEntryProto.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setMembership(MembershipProto.newBuilder().addAllVoters(voters))
                .build());
        sync();
    }

    /**
     * The size of the log file, with the records that aren't written yet.
     *
     * @return the size in bytes
     */
    public long fileBytes() {
        return file.length();
    }

    @Override
    public HardStateProto hardState() {
        return hardState;
    }

    @Override
    public void saveHardState(HardStateProto state) {
        hardState = state;
        write(LogRecordProto.newBuilder().setHardState(state).build());
    }

    @Override
    public long lastIndex() {
        return snapshotMeta.getIndex() + entries.size();
    }

    @Override
    public long firstIndex() {
        return snapshotMeta.getIndex() + 1;
    }

    @Override
    public long termAt(long index) {
        if (index == snapshotMeta.getIndex()) {
            return snapshotMeta.getTerm();
        }
        return index < firstIndex() || index > lastIndex()
                ? NO_TERM
                : entry(index).getTerm();
    }

    @Override
    public LogEntryProto entry(long index) {
        return entries.get((int) (index - firstIndex()));
    }

    @Override
    public void append(LogEntryProto entry) {
        if (entry.getIndex() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "expected: entry " + (lastIndex() + 1) + "\n  actual: entry " + entry.getIndex());
        }
        entries.add(entry);
        write(LogRecordProto.newBuilder().setEntry(entry).build());
    }

    @Override
    public void truncateFrom(long index) {
        entries.subList((int) (index - firstIndex()), entries.size()).clear();
        write(LogRecordProto.newBuilder().setTruncateFrom(index).build());
    }

    @Override
    public SnapshotMetaProto snapshotMeta() {
        return snapshotMeta;
    }

    @Override
    public ByteString snapshotChunk(long offset, int length) {
        Path path = snapshotPath(snapshotMeta.getIndex());
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            ByteBuffer buffer = ByteBuffer.allocate(length);
            channel.position(RecordFile.HEADER_BYTES + offset);
            int read = 0;
            while (buffer.hasRemaining() && read >= 0) {
                read = channel.read(buffer);
            }
            return ByteString.copyFrom(buffer.flip());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void saveSnapshot(SnapshotMetaProto meta, ByteString data) {
        List<LogEntryProto> retained = new ArrayList<>();
        if (termAt(meta.getIndex()) == meta.getTerm()) {
            retained.addAll(entries.subList((int) (meta.getIndex() - firstIndex() + 1), entries.size()));
        }
        DurableFiles.writeAtomically(snapshotPath(meta.getIndex()), RecordFile.framed(data.toByteArray()));
        snapshotMeta = meta;
        entries.clear();
        entries.addAll(retained);
        compactLogFile();
        List<Path> oldSnapshots = new ArrayList<>(DurableFiles.listByPrefix(folder, SNAPSHOT_PREFIX));
        oldSnapshots.remove(snapshotPath(meta.getIndex()));
        DurableFiles.deleteAll(oldSnapshots);
    }

    /**
     * Reads the latest snapshot.
     *
     * @return the serialized state machine at the snapshot's index
     * @throws CorruptLogException if the file is damaged
     */
    public ByteString readSnapshot() throws CorruptLogException {
        Path path = snapshotPath(snapshotMeta.getIndex());
        try {
            ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(path));
            byte[] payload = new byte[Math.max(0, content.remaining() - RecordFile.HEADER_BYTES)];
            content.position(Math.min(RecordFile.HEADER_BYTES, content.limit()));
            content.get(payload);
            if (!RecordFile.framed(payload).equals(content.rewind())) {
                throw new CorruptLogException(path, 0, "a snapshot with a valid checksum", "a checksum mismatch");
            }
            return ByteString.copyFrom(payload);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void sync() {
        if (dirty) {
            file.sync();
            dirty = false;
        }
    }

    @Override
    public void close() {
        file.close();
        try {
            lockChannel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(LogRecordProto record) {
        file.add(record.toByteArray());
        dirty = true;
    }

    private void load() throws CorruptLogException {
        List<Path> files = DurableFiles.listByPrefix(folder, LOG_PREFIX);
        if (files.isEmpty()) {
            file = RecordFile.openForAppend(logPath(fileNumber));
            DurableFiles.syncFolder(folder);
            return;
        }
        Path newest = files.get(files.size() - 1);
        fileNumber = Long.parseLong(newest.getFileName().toString().substring(LOG_PREFIX.length()));
        long position = 0;
        for (byte[] payload : RecordFile.readAndRepair(newest)) {
            replay(newest, position, payload);
            position += RecordFile.HEADER_BYTES + payload.length;
        }
        file = RecordFile.openForAppend(newest);
        DurableFiles.deleteAll(files.subList(0, files.size() - 1));
    }

    private void replay(Path path, long position, byte[] payload) throws CorruptLogException {
        try {
            LogRecordProto record = LogRecordProto.parseFrom(payload);
            switch (record.getRecordCase()) {
                case ENTRY -> entries.add(record.getEntry());
                case HARD_STATE -> hardState = record.getHardState();
                case TRUNCATE_FROM ->
                    entries.subList((int) (record.getTruncateFrom() - firstIndex()), entries.size())
                            .clear();
                case SNAPSHOT -> snapshotMeta = record.getSnapshot();
                default ->
                    throw new CorruptLogException(path, position, "a known record type", "an unknown record type");
            }
        } catch (InvalidProtocolBufferException e) {
            throw new CorruptLogException(path, position, "a protobuf record", e.getMessage());
        }
    }

    /** Replaces the log file by one with the snapshot's metadata, the hard state and the entries after the snapshot. */
    private void compactLogFile() {
        List<ByteBuffer> records = new ArrayList<>();
        records.add(framed(LogRecordProto.newBuilder().setSnapshot(snapshotMeta)));
        records.add(framed(LogRecordProto.newBuilder().setHardState(hardState)));
        entries.forEach(entry -> records.add(framed(LogRecordProto.newBuilder().setEntry(entry))));
        file.close();
        Path oldPath = logPath(fileNumber);
        fileNumber++;
        DurableFiles.writeAtomically(logPath(fileNumber), records.toArray(ByteBuffer[]::new));
        DurableFiles.deleteAll(List.of(oldPath));
        file = RecordFile.openForAppend(logPath(fileNumber));
        dirty = false;
    }

    private static ByteBuffer framed(LogRecordProto.Builder record) {
        return RecordFile.framed(record.build().toByteArray());
    }

    private Path logPath(long number) {
        return folder.resolve(LOG_PREFIX + String.format(Locale.ROOT, "%010d", number));
    }

    private Path snapshotPath(long index) {
        return folder.resolve(SNAPSHOT_PREFIX + String.format(Locale.ROOT, "%016d", index));
    }
}
