package org.lovagegrade.graph.leader;

import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.wire.proto.WorkerProto;

/** The orders of one leader, which may be deposed while it is frozen: then its knowledge of evacuations is outdated. */
final class SimulatedLeaderLink implements WorkerLink {
    private final SimulatedCell cell;
    private Set<String> knownEvacuations = Set.of();
    private boolean isDeposed;

    SimulatedLeaderLink(SimulatedCell cell) {
        this.cell = cell;
    }

    /** From now on the leader learns of no evacuation, and reaches workers that its successor can't reach. */
    void depose() {
        knownEvacuations = cell.evacuatedDomains();
        isDeposed = true;
    }

    /** Whether the leader knows that the worker's failure domain is evacuated. */
    boolean isEvacuated(WorkerProto worker) {
        Set<String> known = isDeposed ? knownEvacuations : cell.evacuatedDomains();
        return known.contains(worker.getFailureDomain());
    }

    @Override
    public void start(WorkerProto worker, StartOrder order, Consumer<OrderOutcome> result) {
        cell.operator().checkOrder(worker, order.run());
        if (isDeposed) {
            cell.startAcrossPartitions(worker, order, result);
        } else {
            cell.start(worker, order, result);
        }
    }

    @Override
    public void stop(WorkerProto worker, RunKey run, long fencingToken, Consumer<OrderOutcome> result) {
        cell.stop(worker, run, fencingToken, result);
    }

    @Override
    public void renew(WorkerProto worker, RenewOrder order, Consumer<RenewOutcome> result) {
        cell.renew(worker, order, result);
    }

    @Override
    public void identify(WorkerProto worker, long fencingToken, Consumer<RenewOutcome> result) {
        cell.identify(worker, fencingToken, result);
    }

    @Override
    public void disconnect(WorkerProto worker) {
        cell.disconnect(worker);
    }
}
