package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Admits reported incarnations whose id or address another one holds. A report proves nothing about the holder, since it
 * may come late or from another writer. The claim is admitted once the holder has proved to have ended: its address
 * answers as another incarnation, or doesn't answer although its lease has expired. It is refuted if the holder answers.
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
     * @param admit proposes the incarnation to the log
     * @param atMs when the report arrived, on the monotonic clock in milliseconds
     */
    private record Claim(WorkerProto claimant, Runnable acknowledge, Runnable admit, long atMs) {}

    SuccessorClaims(WorkerDriver driver, Metrics metrics) {
        this.driver = driver;
        this.metrics = metrics.declare(SUCCESSOR_CLAIMS, Outcome.class);
    }

    /** Admits a reported incarnation at once if no other one holds its id or address, or else once they have ended. */
    void add(WorkerProto claimant, Runnable acknowledge, Runnable admit, long nowMs) {
        List<WorkerSession> holders = driver.predecessorsOf(claimant);
        if (holders.isEmpty()) {
            admit.run();
            return;
        }
        claims.put(holders.get(0).id(), new Claim(claimant, acknowledge, admit, nowMs));
        holders.forEach(holder -> driver.verifyIncarnation(holder, nowMs));
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
            claim.admit().run();
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
        holders.forEach(holder -> driver.verifyIncarnation(holder, nowMs));
        return false;
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
