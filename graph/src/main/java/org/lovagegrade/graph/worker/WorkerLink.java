package org.lovagegrade.graph.worker;

import java.util.function.Consumer;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.WorkerProto;

/** Carries orders to workers. Results come once each, on any thread; a missing answer becomes a result as well. */
public interface WorkerLink {
    /**
     * Orders a run.
     *
     * @param worker which life of which worker
     * @param order the order
     * @param result takes what became of it
     */
    void start(WorkerProto worker, StartOrder order, Consumer<OrderOutcome> result);

    /**
     * Orders a run to end; a run that never began can never begin afterwards.
     *
     * @param worker which life of which worker
     * @param run which run
     * @param fencingToken the term of the leader that orders
     * @param result takes what became of it
     */
    void stop(WorkerProto worker, RunKey run, long fencingToken, Consumer<OrderOutcome> result);

    /**
     * Renews the lease and asks for the worker's lists.
     *
     * @param worker which life of which worker
     * @param order the order
     * @param result takes what became of it
     */
    void renew(WorkerProto worker, RenewOrder order, Consumer<RenewOutcome> result);

    /**
     * Closes the connections to a worker that is gone.
     *
     * @param worker which life of which worker
     */
    void disconnect(WorkerProto worker);
}
