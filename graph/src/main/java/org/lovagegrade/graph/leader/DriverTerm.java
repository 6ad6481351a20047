package org.lovagegrade.graph.leader;

/** The term for which a leader drives workers, and whether it still may. */
final class DriverTerm {
    private final long number;
    private final long sinceMs;
    private boolean closed;
    private boolean fencedOut;

    DriverTerm(long number, long sinceMs) {
        this.number = number;
        this.sinceMs = sinceMs;
    }

    /** The fence of every order. */
    long number() {
        return number;
    }

    /** When this replica began to lead, on the monotonic clock in milliseconds. */
    long sinceMs() {
        return sinceMs;
    }

    void close() {
        closed = true;
    }

    /** A worker has seen the fence of a later leader. */
    void fencedOut() {
        fencedOut = true;
    }

    boolean isClosed() {
        return closed;
    }

    boolean mayAct() {
        return !closed && !fencedOut;
    }
}
