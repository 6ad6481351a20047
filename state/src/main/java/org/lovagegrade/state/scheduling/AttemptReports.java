package org.lovagegrade.state.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Resources;
import org.lovagegrade.wire.proto.AttemptReportProto;
import org.lovagegrade.wire.proto.HeartbeatProto;

/** Reads the attempt reports in a worker's heartbeat. */
final class AttemptReports {
    private AttemptReports() {}

    static List<Event> events(HeartbeatProto heartbeat) {
        List<Event> events = new ArrayList<>();
        for (AttemptReportProto report : heartbeat.getAttemptsList()) {
            Attempt attempt = ProtoMapping.attempt(report.getAttempt(), heartbeat.getWorker());
            if (report.getUsedMilliCores() > 0 || report.getUsedMemoryMb() > 0) {
                Resources used = Resources.of(report.getUsedMilliCores(), report.getUsedMemoryMb(), 0);
                events.add(new Event.UsageReported(attempt, used));
            }
            switch (report.getState()) {
                case ATTEMPT_CHECKPOINTED -> events.add(new Event.AttemptCheckpointed(attempt));
                case ATTEMPT_ENDED -> events.add(new Event.AttemptEnded(attempt));
                case ATTEMPT_FAILED -> events.add(new Event.AttemptFailed(attempt));
                case ATTEMPT_STOPPED -> events.add(new Event.AttemptStopped(attempt));
                default -> {}
            }
        }
        return events;
    }

    static boolean isFinished(AttemptReportProto report) {
        return switch (report.getState()) {
            case ATTEMPT_ENDED, ATTEMPT_FAILED, ATTEMPT_STOPPED -> true;
            default -> false;
        };
    }
}
