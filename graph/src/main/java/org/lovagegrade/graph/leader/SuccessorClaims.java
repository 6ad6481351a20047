package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.WorkerProto;
import org.lovagegrade.wire.proto.WorkerSuccessionProto;

/**
 * Admits reported incarnations whose id or address another one holds. A report proves nothing about the holder, since it
 * may come late or from another writer. The claim is admitted once the holder has proved to have ended: its address
 * answers as another incarnation, or doesn't answer although its lease has expired. It is refuted if the holder answers.
 * The reported incarnation takes over the runs that it has accepted in place of the holder.
 */
final class SuccessorClaims {
    private static final String SUCCESSOR_CLAIMS = "lovagegrade_successor_claims";
    /** A claimant that is up repeats its report within this time. */
    private static final long RETENTION_MS = 5_000;

    private final WorkerDriver driver;
    private final Metrics metrics;
    /** By the id of a holder; a later claim replaces an earlier one, so that there is at most one for each holder. */
    private final Map<String, Claim> claims = new HashMap<>();

    /** What became of a claim. */
    private enum Outcome {
        ADMITTED,
        REFUTED,
        UNDECIDED
    }

    /**
     * A report that waits for the end of other incarnations.
     *
     * @param claimant the reported incarnation
     * @param acknowledge answers the report without an effect
     * @param propose takes the command that brings the incarnation into the log
     * @param atMs when the report arrived, on the monotonic clock in milliseconds
     */
    private record Claim(
            WorkerProto claimant, Runnable acknowledge, Consumer<GraphCommandProto.Builder> propose, long atMs) {
        void admit() {
            propose.accept(GraphCommandProto.newBuilder().setWorker(claimant));
        }

        void admitAsSuccessorOf(WorkerSession holder) {
            WorkerSuccessionProto.Builder succession = WorkerSuccessionProto.newBuilder()
                    .setWorker(claimant)
                    .setFormerBornMs(holder.info().getBornMs());
            holder.succession.adopted.forEach(run -> succession.addAdopted(run.toProto()));
            propose.accept(GraphCommandProto.newBuilder().setSuccession(succession));
        }
    }

    SuccessorClaims(WorkerDriver driver, Metrics metrics) {
        this.driver = driver;
        this.metrics = metrics.declare(SUCCESSOR_CLAIMS, Outcome.class);
    }

    /** Admits a reported incarnation at once if no other one holds its id or address, or else once they have ended. */
    void add(WorkerProto claimant, Runnable acknowledge, Consumer<GraphCommandProto.Builder> propose, long nowMs) {
        Claim claim = new Claim(claimant, acknowledge, propose, nowMs);
        List<WorkerSession> holders = driver.predecessorsOf(claimant);
        if (holders.isEmpty()) {
            claim.admit();
            return;
        }
        claims.put(holders.get(0).id(), claim);
        if (isSettled(claim, nowMs)) {
            claims.remove(holders.get(0).id(), claim);
        }
    }

    /** Settles the claims that can be decided now. */
    void tick(long nowMs) {
        for (Map.Entry<String, Claim> entry : List.copyOf(claims.entrySet())) {
            if (isSettled(entry.getValue(), nowMs)) {
                claims.remove(entry.getKey(), entry.getValue());
            }
        }
    }

    private boolean isSettled(Claim claim, long nowMs) {
        List<WorkerSession> holders = driver.predecessorsOf(claim.claimant());
        if (holders.isEmpty()) {
            report(claim, Outcome.ADMITTED);
            claim.admit();
            return true;
        }
        boolean isSuccessor = holders.stream().allMatch(holder -> hasSettledWith(holder, claim.claimant()));
        if (isSuccessor) {
            report(claim, Outcome.ADMITTED);
            claim.admitAsSuccessorOf(holders.get(0));
            return true;
        }
        if (holders.stream().anyMatch(holder -> holder.verifiedAtMs >= claim.atMs())) {
            report(claim, Outcome.REFUTED);
            claim.acknowledge().run();
            return true;
        }
        if (nowMs - claim.atMs() > RETENTION_MS) {
            report(claim, Outcome.UNDECIDED);
            return true;
        }
        holders.forEach(holder -> driver.checkSuccession(holder, claim.claimant(), nowMs));
        holders.forEach(holder -> driver.verifyIncarnation(holder, nowMs));
        return false;
    }

    /** Whether the holder's runs are settled with the claimant, which has accepted some of them. */
    private static boolean hasSettledWith(WorkerSession holder, WorkerProto claimant) {
        return holder.isSucceeded()
                && holder.id().equals(claimant.getId())
                && holder.succession.bornMs == claimant.getBornMs();
    }

    private void report(Claim claim, Outcome outcome) {
        metrics.count(SUCCESSOR_CLAIMS, outcome);
        Log.event("successorClaim")
                .with("worker", claim.claimant().getId())
                .with("bornMs", claim.claimant().getBornMs())
                .with("address", claim.claimant().getAddress())
                .with("outcome", outcome.name())
                .info();
    }
}
