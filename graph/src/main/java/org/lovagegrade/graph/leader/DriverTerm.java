package org.lovagegrade.graph.leader;

/** The term in which a leader drives workers, and whether it may still send orders. */
final class DriverTerm {
    /** The low bits of a fencing token count the tokens of one term; the others are the number of the term. */
    private static final int TOKENS_PER_TERM_BITS = 20;

    private final long number;
    private final long sinceMs;
    private boolean closed;
    private boolean fencedOut;
    private long lastFencingToken;

    DriverTerm(long number, long sinceMs) {
        this.number = number;
        this.sinceMs = sinceMs;
        this.lastFencingToken = number << TOKENS_PER_TERM_BITS;
    }

    /**
     * Returns a fencing token that is higher than all earlier ones of this term and of earlier terms, and lower than those of
     * later terms. Once a worker has seen it, no order with an earlier one has an effect there.
     *
     * @throws IllegalStateException if the term has no further tokens
     */
    long nextFencingToken() {
        lastFencingToken++;
        if (lastFencingToken >> TOKENS_PER_TERM_BITS != number) {
            throw new IllegalStateException("expected: at most " + ((1L << TOKENS_PER_TERM_BITS) - 1)
                    + " fencing tokens a term\n  actual: more in term " + number);
        }
        return lastFencingToken;
    }

    /** The number of the term, which rises with each leader. */
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
