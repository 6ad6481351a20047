package org.lovagegrade.state.log.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Crash-safe file operations; I/O errors are thrown as {@link UncheckedIOException} unless stated otherwise. */
public final class DurableFiles {
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private DurableFiles() {}

    /**
     * Writes a file atomically: a crash leaves either the complete new file or the previous state. Durable on return.
     *
     * @param target the file
     * @param parts the content, concatenated
     */
    public static void writeAtomically(Path target, ByteBuffer... parts) {
        Path temporary = target.resolveSibling(target.getFileName() + TEMPORARY_SUFFIX);
        try {
            try (FileChannel channel = FileChannel.open(
                    temporary,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                for (ByteBuffer part : parts) {
                    writeFully(channel, part);
                }
                channel.force(true);
            }
            Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
            syncFolder(target.getParent());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Makes the creation, renaming and deletion of files in a folder durable.
     *
     * @param folder the folder
     */
    public static void syncFolder(Path folder) {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes all of a buffer at the channel's position.
     *
     * @param channel the channel
     * @param bytes the buffer
     * @throws IOException if the write fails
     */
    public static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /**
     * Lists the files whose names begin with a prefix.
     *
     * @param folder the folder
     * @param prefix the prefix
     * @return the files sorted by name, without temporary files
     */
    public static List<Path> listByPrefix(Path folder, String prefix) {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith(prefix))
                    .filter(file -> !file.getFileName().toString().endsWith(TEMPORARY_SUFFIX))
                    .sorted()
                    .collect(Collectors.toList());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Deletes files that exist; the deletion isn't synced.
     *
     * @param files the files
     */
    public static void deleteAll(List<Path> files) {
        for (Path file : files) {
            try {
                Files.deleteIfExists(file);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
