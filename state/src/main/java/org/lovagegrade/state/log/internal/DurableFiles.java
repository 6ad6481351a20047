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

/** File operations that last. */
public final class DurableFiles {
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private DurableFiles() {}

    /**
     * Writes a whole file so that after a crash either all of it is there or nothing is.
     *
     * @param target the file
     * @param parts its content
     */
    public static void writeWhole(Path target, ByteBuffer... parts) {
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
     * Makes names in a folder last.
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
     * @param channel where to write
     * @param bytes what to write
     * @throws IOException if the disk refuses
     */
    public static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /**
     * Lists files by prefix.
     *
     * @param folder the folder
     * @param prefix how their names begin
     * @return the files in the order of their names, temporary ones left out
     */
    public static List<Path> withPrefix(Path folder, String prefix) {
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
     * Deletes files.
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
