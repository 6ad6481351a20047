package org.lovagegrade.state.log.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.lovagegrade.state.log.CorruptLogException;

/** A file of records, each with its length and a checksum; a torn tail is truncated, other damage is an error. */
public final class RecordFile implements AutoCloseable {
    /** The size of the header before each record: the record's length and its CRC-32C, 4 bytes each. */
    public static final int HEADER_BYTES = 8;

    private static final int MAX_RECORD_BYTES = 16 * 1024 * 1024;

    private final FileChannel channel;
    private ByteBuffer pending = ByteBuffer.allocate(64 * 1024);
    private long length;

    private RecordFile(FileChannel channel, long length) {
        this.channel = channel;
        this.length = length;
    }

    /** The intact records of a file, and the offset in bytes at which they end. */
    private record Scan(List<byte[]> records, long end) {}

    /**
     * Reads all records and truncates a torn tail.
     *
     * @param file the file
     * @return the records in order
     * @throws CorruptLogException if a damaged record has intact ones after it
     */
    public static List<byte[]> readAndRepair(Path file) throws CorruptLogException {
        try {
            byte[] content = Files.readAllBytes(file);
            Scan scan = scan(file, content);
            if (scan.end() < content.length) {
                truncateTo(file, scan.end());
            }
            return scan.records();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Opens a file for appending.
     *
     * @param file the file, created if missing
     * @return the open file
     */
    public static RecordFile openForAppend(Path file) {
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.position(channel.size());
            return new RecordFile(channel, channel.size());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Encodes a record with its header.
     *
     * @param payload the record
     * @return the header and the payload
     */
    public static ByteBuffer framed(byte[] payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(payload.length)
                .putInt(checksum(payload, 0, payload.length))
                .put(payload);
        return buffer.flip();
    }

    /**
     * Adds a record; it is durable after {@link #sync()}.
     *
     * @param payload the record
     */
    public void add(byte[] payload) {
        ByteBuffer frame = framed(payload);
        if (frame.remaining() > pending.remaining()) {
            flush();
        }
        if (frame.remaining() > pending.remaining()) {
            pending = ByteBuffer.allocate(frame.remaining());
        }
        length += frame.remaining();
        pending.put(frame);
    }

    /** Makes all records so far durable. */
    public void sync() {
        flush();
        try {
            channel.force(false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The length of the file, with the records that are still buffered.
     *
     * @return the length in bytes
     */
    public long length() {
        return length;
    }

    @Override
    public void close() {
        try {
            flush();
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void flush() {
        pending.flip();
        try {
            DurableFiles.writeFully(channel, pending);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        pending.clear();
    }

    private static Scan scan(Path file, byte[] content) throws CorruptLogException {
        List<byte[]> records = new ArrayList<>();
        int offset = 0;
        while (offset < content.length) {
            if (!isIntact(content, offset)) {
                requireDamageAtTail(file, content, offset);
                return new Scan(records, offset);
            }
            int size = ByteBuffer.wrap(content, offset, Integer.BYTES).getInt();
            byte[] payload = new byte[size];
            System.arraycopy(content, offset + HEADER_BYTES, payload, 0, size);
            records.add(payload);
            offset += HEADER_BYTES + size;
        }
        return new Scan(records, offset);
    }

    private static void requireDamageAtTail(Path file, byte[] content, int damageOffset) throws CorruptLogException {
        for (int offset = damageOffset + 1; offset + HEADER_BYTES < content.length; offset++) {
            if (isIntact(content, offset)) {
                throw new CorruptLogException(
                        file,
                        damageOffset,
                        "a record with a valid checksum",
                        "a damaged record with intact records after it");
            }
        }
    }

    private static boolean isIntact(byte[] content, int offset) {
        if (offset + HEADER_BYTES > content.length) {
            return false;
        }
        ByteBuffer header = ByteBuffer.wrap(content, offset, HEADER_BYTES);
        int size = header.getInt();
        if (size <= 0 || size > MAX_RECORD_BYTES || size > content.length - offset - HEADER_BYTES) {
            return false;
        }
        return header.getInt() == checksum(content, offset + HEADER_BYTES, size);
    }

    private static int checksum(byte[] bytes, int offset, int size) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, size);
        return (int) crc.getValue();
    }

    private static void truncateTo(Path file, long end) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(end);
            channel.force(true);
        }
    }
}
