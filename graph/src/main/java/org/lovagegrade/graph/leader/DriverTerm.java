package org.lovagegrade.graph.leader;

/** The term in which a leader drives workers, and whether it may still send orders. */
final class DriverTerm {
    private final long number;
    private final long sinceMs;
    private boolean closed;
    private boolean fencedOut;

    DriverTerm(long number, long sinceMs) {
        this.number = number;
        this.sinceMs = sinceMs;
    }

    /** The fencing token that every order carries. */
    long number() {
        return number;
    }

    /** When this replica became leader, on the monotonic clock in milliseconds. */
    long sinceMs() {
        return sinceMs;
    }

    void close() {
        closed = true;
    }

    /** Records that a worker has seen the fencing token of a later leader. */
    void markFencedOut() {
        fencedOut = true;
    }

    boolean isClosed() {
        return closed;
    }

    boolean mayAct() {
        return !closed && !fencedOut;
    }
}
