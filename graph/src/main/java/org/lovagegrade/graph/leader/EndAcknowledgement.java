package org.lovagegrade.graph.leader;

import java.util.List;
import org.lovagegrade.graph.worker.EndedRunView;

/**
 * Tracks which ends an incarnation of a worker has listed to this leader, and which of them it has forgotten.
 *
 * <p>An acknowledgement names ends by their numbers, which start anew with each incarnation. One that reaches the next
 * incarnation makes it forget ends that nobody has read. So only ends that this incarnation has listed are acknowledged, and
 * none while a start may be carried out on the next one.
 */
final class EndAcknowledgement {
    /** The number of the last end that was listed. */
    private long listedCursor;
    /** The number of the last end that is known to be forgotten. */
    private long forgottenCursor;
    /** The highest cursor that was sent, answered or not. */
    private long sentCursor;

    private boolean inFlight;

    /** Records that an acknowledgement was sent. */
    void sent(long cursor) {
        sentCursor = Math.max(sentCursor, cursor);
        inFlight = true;
    }

    /** Records that the answer to an acknowledgement arrived, or can no longer arrive. */
    void settled() {
        inFlight = false;
    }

    /**
     * Records a list of ends.
     *
     * @param cursor the cursor up to which the question acknowledged ends; 0 if it acknowledged none
     * @param ended the listed ends
     */
    void listed(long cursor, List<EndedRunView> ended) {
        forgottenCursor = Math.max(forgottenCursor, cursor);
        ended.forEach(end -> listedCursor = Math.max(listedCursor, end.number()));
    }

    /**
     * The cursor to acknowledge.
     *
     * @param committedCursor the number of the last end that is committed
     * @return the number of the last end that was listed and is committed, or 0 if the worker has forgotten it
     */
    long dueCursor(long committedCursor) {
        long cursor = Math.min(committedCursor, listedCursor);
        return cursor > forgottenCursor ? cursor : 0;
    }

    /** Whether an acknowledgement awaits its answer. */
    boolean isInFlight() {
        return inFlight;
    }

    /** The highest cursor that was sent to whichever incarnation answers, or 0. */
    long sentCursor() {
        return sentCursor;
    }
}
