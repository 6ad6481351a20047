package org.lovagegrade.state.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.state.log.internal.DurableFiles;

/** The replica id stored in a data folder; it is missing in a new folder and after the loss of the disk. */
public final class DiskIdentity {
    private static final String FILE_NAME = "identity";

    private DiskIdentity() {}

    /**
     * Reads the replica id.
     *
     * @param folder the data folder
     * @return the id, or empty if the folder has none
     */
    public static Optional<ReplicaId> read(Path folder) {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            return Optional.of(ReplicaId.parse(Files.readString(file).strip()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes the replica id; it is durable on return.
     *
     * @param folder the data folder
     * @param id the replica id
     */
    public static void write(Path folder, ReplicaId id) {
        DurableFiles.writeAtomically(
                folder.resolve(FILE_NAME), ByteBuffer.wrap((id + "\n").getBytes(StandardCharsets.UTF_8)));
    }
}
