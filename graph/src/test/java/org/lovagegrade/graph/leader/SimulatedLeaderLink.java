package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.graph.worker.WorkerLink;
import org.lovagegrade.wire.proto.WorkerProto;

/** The orders of one leader, which may be paused: then answers wait, and its knowledge of evacuations is frozen. */
final class SimulatedLeaderLink implements WorkerLink {
    private final SimulatedCell cell;
    private final List<Runnable> waitingAnswers = new ArrayList<>();
    private Set<String> knownEvacuations = Set.of();
    private boolean isDeposed;
    private boolean isPaused;

    SimulatedLeaderLink(SimulatedCell cell) {
        this.cell = cell;
    }

    void pause() {
        knownEvacuations = cell.evacuatedDomains();
        isDeposed = true;
        isPaused = true;
    }

    void resume() {
        isPaused = false;
        waitingAnswers.forEach(Runnable::run);
    }

    /** Whether the leader knows that the worker's failure domain is evacuated. */
    boolean isEvacuated(WorkerProto worker) {
        Set<String> known = isDeposed ? knownEvacuations : cell.evacuatedDomains();
        return known.contains(worker.getFailureDomain());
    }

    private void whenAwake(Runnable answer) {
        if (isPaused) {
            waitingAnswers.add(answer);
        } else {
            answer.run();
        }
    }

    @Override
    public void start(WorkerProto worker, StartOrder order, Consumer<OrderOutcome> result) {
        cell.operator().checkOrder(worker, order.run());
        Consumer<OrderOutcome> answer = outcome -> whenAwake(() -> result.accept(outcome));
        if (isDeposed) {
            cell.startAcrossPartitions(worker, order, answer);
        } else {
            cell.start(worker, order, answer);
        }
    }

    @Override
    public void stop(WorkerProto worker, RunKey run, long fencingToken, Consumer<OrderOutcome> result) {
        cell.stop(worker, run, fencingToken, outcome -> whenAwake(() -> result.accept(outcome)));
    }

    @Override
    public void renew(WorkerProto worker, RenewOrder order, Consumer<RenewOutcome> result) {
        cell.renew(worker, order, outcome -> whenAwake(() -> result.accept(outcome)));
    }

    @Override
    public void disconnect(WorkerProto worker) {
        cell.disconnect(worker);
    }
}
