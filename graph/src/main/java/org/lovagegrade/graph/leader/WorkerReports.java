package org.lovagegrade.graph.leader;

import java.util.function.Consumer;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.WorkerRecord;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;
import org.lovagegrade.wire.proto.WorkerProto;

/** Handles what workers report of themselves; a report may also come late or from another writer. */
final class WorkerReports {
    /** Reports that arrive out of order come within the time of so many heartbeats. */
    private static final long LATE_HEARTBEATS = 2;

    private static final String IGNORED_REPORTS = "lovagegrade_ignored_reports";

    private final GraphStateMachine machine;
    private final WorkerDriver driver;
    private final CommandProposer proposer;
    private final SuccessorClaims claims;
    private final Metrics metrics;

    /** Why a report has no effect. */
    private enum IgnoredReport {
        /** A later incarnation holds the address. */
        OUTDATED_INCARNATION,
        /** No version of the configuration has named the pool. */
        UNKNOWN_POOL,
        /** It says something else about the incarnation than an earlier report, which can't have changed. */
        CONTRADICTION
    }

    WorkerReports(GraphStateMachine machine, WorkerDriver driver, CommandProposer proposer, Metrics metrics) {
        this.machine = machine;
        this.driver = driver;
        this.proposer = proposer;
        this.claims = new SuccessorClaims(driver, metrics);
        this.metrics = metrics.declare(IGNORED_REPORTS, IgnoredReport.class);
    }

    void tick(long nowMs) {
        claims.tick(nowMs);
    }

    /**
     * Handles a report.
     *
     * @param reported the report
     * @param acknowledge runs if the report has no effect on the log
     * @param propose takes the command that brings the report into the log otherwise
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    void handle(WorkerProto reported, Runnable acknowledge, Consumer<GraphCommandProto.Builder> propose, long nowMs) {
        WorkerRecord current = machine.workers().get(reported.getId());
        Runnable admit = () -> propose.accept(GraphCommandProto.newBuilder().setWorker(reported));
        if (current == null || current.info().getBornMs() < reported.getBornMs()) {
            handleNewIncarnation(reported, current == null, acknowledge, propose, nowMs);
            return;
        }
        if (isOutdated(current.info(), reported, nowMs)) {
            acknowledge.run();
        } else if (contradicts(current.info(), reported, nowMs)) {
            ignore(reported, IgnoredReport.CONTRADICTION, acknowledge);
        } else {
            driver.session(reported.getId())
                    .ifPresent(session -> session.reports.record(reported, heartbeatMs(), nowMs));
            (isUnchanged(current.info(), reported) ? acknowledge : admit).run();
        }
    }

    /**
     * Handles the announced end of a worker: it gets nothing more, and is removed at once if nothing runs there. The
     * announcement may come late from a former incarnation or from another writer, so what runs goes on, and a worker that
     * still reports itself is used again.
     *
     * @param worker its id
     * @param hasPendingStart whether a start there is proposed that may be committed before any later command
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    void handleLeaving(String worker, boolean hasPendingStart, long nowMs) {
        driver.session(worker).ifPresent(session -> {
            session.reports.announceEnd(nowMs);
            if (session.record.runs().isEmpty() && !hasPendingStart) {
                proposer.propose(GraphCommandProto.newBuilder()
                        .setWorkerGone(WorkerGoneProto.newBuilder()
                                .setWorker(worker)
                                .setBornMs(session.info().getBornMs())));
            }
        });
    }

    private void handleNewIncarnation(
            WorkerProto reported,
            boolean isNewId,
            Runnable acknowledge,
            Consumer<GraphCommandProto.Builder> propose,
            long nowMs) {
        if (!machine.isKnownPool(reported.getPool())) {
            ignore(reported, IgnoredReport.UNKNOWN_POOL, acknowledge);
        } else if (isNewId && isOlderThanAddressHolder(reported)) {
            ignore(reported, IgnoredReport.OUTDATED_INCARNATION, acknowledge);
        } else {
            claims.add(reported, acknowledge, propose, nowMs);
        }
    }

    /** Whether a later report has arrived. A worker that drains is not taken back into use by reports with lower numbers. */
    private boolean isOutdated(WorkerProto current, WorkerProto reported, long nowMs) {
        if (current.getBornMs() > reported.getBornMs()) {
            return true;
        }
        if (current.getSequence() <= reported.getSequence()) {
            return false;
        }
        boolean refutesHighestSequence = driver.session(reported.getId())
                .filter(session ->
                        session.reports.refutesHighestSequence(reported, LATE_HEARTBEATS * heartbeatMs(), nowMs))
                .isPresent();
        return !refutesHighestSequence || (current.getDraining() && !reported.getDraining());
    }

    private long heartbeatMs() {
        return driver.timings().heartbeatMs();
    }

    /** A delayed heartbeat may arrive after a later incarnation has taken over its address. */
    private boolean isOlderThanAddressHolder(WorkerProto reported) {
        return reported.getBornMs() != 0
                && machine.workers().values().stream()
                        .anyMatch(worker -> worker.info().getAddress().equals(reported.getAddress())
                                && worker.info().getBornMs() > reported.getBornMs());
    }

    private void ignore(WorkerProto reported, IgnoredReport reason, Runnable acknowledge) {
        metrics.count(IGNORED_REPORTS, reason);
        Log.event("reportIgnored")
                .with("worker", reported.getId())
                .with("address", reported.getAddress())
                .with("reason", reason.name())
                .info();
        acknowledge.run();
    }

    /**
     * Whether a report differs from the known one in what stays the same for as long as an incarnation lives. If only such
     * reports arrive, the known one was not the worker's own; but its address is left to its answers and its lease.
     */
    private boolean contradicts(WorkerProto current, WorkerProto reported, long nowMs) {
        if (!current.getAddress().equals(reported.getAddress())) {
            return true;
        }
        boolean isSame = current.getPool().equals(reported.getPool())
                && current.getInstance().equals(reported.getInstance());
        return !isSame
                && driver.session(reported.getId())
                        .filter(session -> driver.isReportRecent(session, nowMs))
                        .isPresent();
    }

    private static boolean isUnchanged(WorkerProto current, WorkerProto reported) {
        return withoutVolatileFields(current).equals(withoutVolatileFields(reported));
    }

    private static WorkerProto withoutVolatileFields(WorkerProto worker) {
        return worker.toBuilder().clearSequence().clearRemainingMs().build();
    }
}
