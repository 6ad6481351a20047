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

/** The identity that a disk holds; a folder without one has never belonged to a replica or lost its disk. */
public final class DiskIdentity {
    private static final String FILE = "identity";

    private DiskIdentity() {}

    /**
     * Reads the identity.
     *
     * @param folder the data folder
     * @return the identity, or empty
     */
    public static Optional<ReplicaId> read(Path folder) {
        Path file = folder.resolve(FILE);
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
     * Writes the identity; it lasts when this returns.
     *
     * @param folder the data folder
     * @param id the identity
     */
    public static void write(Path folder, ReplicaId id) {
        DurableFiles.writeWhole(folder.resolve(FILE), ByteBuffer.wrap((id + "\n").getBytes(StandardCharsets.UTF_8)));
    }
}
