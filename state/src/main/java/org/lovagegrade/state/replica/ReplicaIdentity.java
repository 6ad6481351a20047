package org.lovagegrade.state.replica;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.state.consensus.ReplicaId;
import org.lovagegrade.state.log.DiskIdentity;
import org.lovagegrade.state.log.DurableLog;

/** Decides who a replica is, from what its disk holds. */
public final class ReplicaIdentity {
    private ReplicaIdentity() {}

    /**
     * The identity on the disk. A disk without one gets a new one: as a founder if the fleet starts for the first time
     * and this replica is among the founders, else without a vote until the others take it in.
     *
     * @param folder the data folder
     * @param log the log in it
     * @param name this replica's name
     * @param founders the names of the first voters, the same at each of them; none unless the fleet starts for the
     *     first time
     * @return the identity
     */
    public static ReplicaId loadOrCreate(Path folder, DurableLog log, String name, List<String> founders) {
        boolean hasNoLog = log.lastIndex() == 0 && log.hardState().getTerm() == 0;
        Optional<ReplicaId> present = DiskIdentity.read(folder);
        if (present.isPresent() && !hasNoLog) {
            return present.get();
        }
        boolean isFounder = hasNoLog && present.isEmpty() && founders.contains(name);
        if (isFounder) {
            ReplicaId first = ReplicaId.first(name);
            DiskIdentity.write(folder, first);
            log.format(founders.stream()
                    .sorted()
                    .map(founder -> ReplicaId.first(founder).toString())
                    .toList());
            Log.event("founded")
                    .with("replica", first.toString())
                    .with("founders", founders.toString())
                    .info();
            return first;
        }
        ReplicaId fresh = new ReplicaId(name, Long.toHexString(new SecureRandom().nextLong()));
        DiskIdentity.write(folder, fresh);
        Log.event("diskWithoutLog").with("replica", fresh.toString()).warn();
        return fresh;
    }
}
