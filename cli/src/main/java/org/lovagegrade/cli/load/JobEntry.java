package org.lovagegrade.cli.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the lines so far say of a job that is not over, or has been over for a short time only. */
final class JobEntry {
    String queue = "";
    String workspace = "";
    boolean accepted;
    boolean started;
    JobOutcome outcome = JobOutcome.OPEN;
    long lastLine;
    /** The core-ms of ended runs whose worth depends on the outcome of the job. */
    final Map<Place, Long> openCoreMs = new HashMap<>();
    /** Runs whose use is counted; a leader that succeeds another may report an end again. */
    final Set<String> endedRuns = new HashSet<>();
    /** Requests whose refusal is counted; each replica of the product's own fleet reports it. */
    final Set<String> refusedRequests = new HashSet<>();
    /** The number of tasks of a job on the product's own fleet, or 0 if it is not known. */
    long tasks;

    final Set<String> completedTasks = new HashSet<>();

    /** The span of time and the failure domain in which a run ended. */
    record Place(long span, String domain) {}

    boolean isWaiting() {
        return accepted && !started && outcome == JobOutcome.OPEN;
    }

    /** Whether more is to come of the job; its acceptance may have been reported before the first line. */
    boolean isLive() {
        return outcome == JobOutcome.OPEN && (accepted || started || !openCoreMs.isEmpty());
    }
}
