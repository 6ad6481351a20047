package org.lovagegrade.graph.worker;

import java.util.function.Consumer;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.wire.proto.WorkerProto;

/** Sends orders to workers. Each order has exactly one outcome, reported on any thread, also if no answer arrives. */
public interface WorkerLink {
    /**
     * Orders a worker to begin a run.
     *
     * @param worker the incarnation of the worker
     * @param order the order
     * @param result receives the outcome
     */
    void start(WorkerProto worker, StartOrder order, Consumer<OrderOutcome> result);

    /**
     * Orders a worker to stop a run; a run that has not begun by then never begins.
     *
     * @param worker the incarnation of the worker
     * @param run the run
     * @param fencingToken a number above those of all orders that must have no effect after this one
     * @param result receives the outcome
     */
    void stop(WorkerProto worker, RunKey run, long fencingToken, Consumer<OrderOutcome> result);

    /**
     * Renews a worker's lease and asks for its running and ended runs.
     *
     * @param worker the incarnation of the worker
     * @param order the order
     * @param result receives the outcome
     */
    void renew(WorkerProto worker, RenewOrder order, Consumer<RenewOutcome> result);

    /**
     * Asks which incarnation answers at a worker's address and which runs it has, without waiting for orders and renewals
     * that are under way, and over a new connection, since those to a former incarnation are dead. The answer shows which
     * incarnation is up, or refuses the question as one with another id; nothing is changed there but the highest fencing
     * token.
     *
     * @param worker the incarnation that is expected to answer
     * @param fencingToken a number above those of all orders that must have no effect after this question
     * @param result receives the outcome
     */
    void identify(WorkerProto worker, long fencingToken, Consumer<RenewOutcome> result);

    /**
     * Closes the connections to a worker that has been removed.
     *
     * @param worker the incarnation of the worker
     */
    void disconnect(WorkerProto worker);
}
