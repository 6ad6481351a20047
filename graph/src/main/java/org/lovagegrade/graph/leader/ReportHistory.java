package org.lovagegrade.graph.leader;

import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * What one incarnation of a worker has reported lately, beyond what the log holds. Reports and announcements of its end may
 * also come late or from another writer; what the worker itself goes on reporting refutes them.
 */
final class ReportHistory {
    private static final long NONE = -1;

    /** When the last report arrived, on the monotonic clock in milliseconds. */
    private long lastReportMs;
    /** When the worker, which has announced its end, leaves by its last report; 0 if that is unknown. */
    private long leavesAtMs;

    private long lastSequence;
    /** Since when only reports with lower numbers have arrived, and the highest of these numbers. */
    private long lowerSequencesSinceMs = NONE;

    private long highestLowerSequence = NONE;
    /** When the end of the worker was announced, if the worker has not reported itself as ready since. */
    private long endAnnouncedAtMs = NONE;
    /** The number of the worker's last report when its end was announced. */
    private long sequenceAtAnnouncement;

    ReportHistory(WorkerProto reported, long nowMs) {
        this.lastReportMs = nowMs;
        this.lastSequence = reported.getSequence();
    }

    /**
     * Records a report. A worker that goes on reporting itself as ready has not announced its end.
     *
     * @param reported the report
     * @param heartbeatMs how often the worker reports itself, in milliseconds
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    void record(WorkerProto reported, long heartbeatMs, long nowMs) {
        boolean refutesEnd = isEndAnnounced()
                && !reported.getDraining()
                && nowMs - endAnnouncedAtMs >= heartbeatMs
                && reported.getSequence() > sequenceAtAnnouncement;
        if (refutesEnd) {
            endAnnouncedAtMs = NONE;
            Log.event("announcedEndRefuted").with("worker", reported.getId()).info();
        }
        lastReportMs = nowMs;
        leavesAtMs = reported.getRemainingMs() > 0 ? nowMs + reported.getRemainingMs() : 0;
        lastSequence = reported.getSequence();
        lowerSequencesSinceMs = NONE;
        highestLowerSequence = NONE;
    }

    /** Counts the last report as one that arrived at the given time, since its true age is unknown. */
    void setLastReportMs(long atMs) {
        lastReportMs = atMs;
    }

    long lastReportMs() {
        return lastReportMs;
    }

    long leavesAtMs() {
        return leavesAtMs;
    }

    /**
     * Whether the highest sequence number was not the worker's own: reports with lower ones go on arriving, in rising
     * order, for longer than late ones do.
     *
     * @param reported a report with a lower number
     * @param lateForMs for how long late reports may arrive, in milliseconds
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    boolean refutesHighestSequence(WorkerProto reported, long lateForMs, long nowMs) {
        if (reported.getSequence() <= highestLowerSequence) {
            return false;
        }
        highestLowerSequence = reported.getSequence();
        if (lowerSequencesSinceMs == NONE) {
            lowerSequencesSinceMs = nowMs;
        }
        return nowMs - lowerSequencesSinceMs >= lateForMs;
    }

    /** Records that the end of the worker was announced, by the worker or by another writer. */
    void announceEnd(long nowMs) {
        endAnnouncedAtMs = nowMs;
        sequenceAtAnnouncement = lastSequence;
    }

    /** Whether the end of the worker was announced by more than its reports. */
    boolean isEndAnnounced() {
        return endAnnouncedAtMs != NONE;
    }
}
