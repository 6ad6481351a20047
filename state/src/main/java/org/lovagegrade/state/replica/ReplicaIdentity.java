package org.lovagegrade.state.replica;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.state.log.DiskIdentity;
import org.lovagegrade.state.log.DurableLog;

/** Determines a replica's identity from the contents of its data folder. */
public final class ReplicaIdentity {
    private ReplicaIdentity() {}

    /**
     * Returns the identity stored in the data folder, or creates and stores a new one if the folder holds no identity
     * or an empty log. In an empty folder, an initial voter formats the log and gets the first incarnation of its
     * name. In all other cases the replica gets a new incarnation, which has no vote until the other replicas add it.
     *
     * @param folder the data folder
     * @param log the log in the data folder
     * @param name this replica's name
     * @param initialVoters the names of the initial voters, the same on each of them; empty unless the fleet starts
     *     for the first time
     * @return the identity
     */
    public static ReplicaId loadOrCreate(Path folder, DurableLog log, String name, List<String> initialVoters) {
        boolean isLogEmpty = log.lastIndex() == 0 && log.hardState().getTerm() == 0;
        Optional<ReplicaId> stored = DiskIdentity.read(folder);
        if (stored.isPresent() && !isLogEmpty) {
            return stored.get();
        }
        boolean isInitialVoter = isLogEmpty && stored.isEmpty() && initialVoters.contains(name);
        if (isInitialVoter) {
            ReplicaId first = ReplicaId.first(name);
            DiskIdentity.write(folder, first);
            log.format(initialVoters.stream()
                    .sorted()
                    .map(voter -> ReplicaId.first(voter).toString())
                    .toList());
            Log.event("founded")
                    .with("replica", first.toString())
                    .with("founders", initialVoters.toString())
                    .info();
            return first;
        }
        ReplicaId created = new ReplicaId(name, Long.toHexString(new SecureRandom().nextLong()));
        DiskIdentity.write(folder, created);
        Log.event("diskWithoutLog").with("replica", created.toString()).warn();
        return created;
    }
}
