package org.lovagegrade.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.util.Map;
import java.util.function.Consumer;
import org.lovagegrade.entry.endpoints.EndpointDirectory;
import org.lovagegrade.entry.workers.HeartbeatRelay;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.proto.AnnounceProto;
import org.lovagegrade.wire.proto.AssignmentProto;
import org.lovagegrade.wire.proto.AttemptProto;
import org.lovagegrade.wire.proto.AttemptReportProto;
import org.lovagegrade.wire.proto.AttemptStateProto;
import org.lovagegrade.wire.proto.HeartbeatAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.ResourcesProto;

/** Handles the heartbeats of workers and the announcements of endpoints. */
final class PlatformHandlers {
    private static final long MAX_AMOUNT = 1L << 50;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 100_000;
    private static final Map<String, AttemptStateProto> STATES = Map.of(
            "running", AttemptStateProto.ATTEMPT_RUNNING,
            "checkpointed", AttemptStateProto.ATTEMPT_CHECKPOINTED,
            "ended", AttemptStateProto.ATTEMPT_ENDED,
            "failed", AttemptStateProto.ATTEMPT_FAILED,
            "stopped", AttemptStateProto.ATTEMPT_STOPPED);

    private final HeartbeatRelay relay;
    private final EndpointDirectory directory;

    PlatformHandlers(HeartbeatRelay relay, EndpointDirectory directory) {
        this.relay = relay;
        this.directory = directory;
    }

    void heartbeat(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException {
        HeartbeatProto heartbeat = readHeartbeat(request.json());
        relay.relay(
                heartbeat,
                answer -> reply.accept(answer.map(heartbeatAnswer -> ApiResponse.ok(describe(heartbeatAnswer)))
                        .orElseGet(() -> ApiResponse.refused(
                                StatusCodes.SERVICE_UNAVAILABLE, "noLeader", "no leader answered in time"))));
    }

    void announce(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException {
        AnnounceProto announcement = readAnnouncement(request.json());
        directory.handleAnnouncement(
                announcement,
                answer -> reply.accept(ApiResponse.ok(ApiResponse.object()
                        .put("accepted", answer.getAccepted())
                        .put("reason", answer.getReason())
                        .put("owner", answer.getOwner())
                        .put("sessionMs", answer.getSessionMs()))));
    }

    private static HeartbeatProto readHeartbeat(Settings body) throws SettingsException {
        HeartbeatProto.Builder heartbeat = HeartbeatProto.newBuilder()
                .setWorker(id(body, "worker"))
                .setBootId(id(body, "bootId"))
                .setFailureDomain(id(body, "failureDomain"))
                .setRack(id(body, "rack"))
                .setCapacity(ResourcesProto.newBuilder()
                        .setMilliCores(amount(body, "milliCores", "thousandths of a core"))
                        .setMemoryMb(amount(body, "memoryMb", "megabytes"))
                        .setAccelerators(amount(body, "accelerators", "accelerators")))
                .setLeaving(body.flag("leaving"));
        for (Settings attempt : body.objects("attempts", "a list of attempts")) {
            heartbeat.addAttempts(readReport(attempt));
        }
        body.throwIfInvalid();
        return heartbeat.build();
    }

    private static AttemptReportProto readReport(Settings attempt) {
        String state = attempt.text("state", "one of " + STATES.keySet());
        if (!STATES.containsKey(state)) {
            attempt.reject("state", state, "one of " + STATES.keySet());
        }
        return AttemptReportProto.newBuilder()
                .setAttempt(AttemptProto.newBuilder()
                        .setJob(id(attempt, "job"))
                        .setTask(attempt.integer("task", 0, Integer.MAX_VALUE, "index"))
                        .setAttempt(attempt.integer("attempt", 1, Integer.MAX_VALUE, "number")))
                .setState(STATES.getOrDefault(state, AttemptStateProto.ATTEMPT_RUNNING))
                .setReason(attempt.optionalText("reason", "a text").orElse(""))
                .setUsedMilliCores(amount(attempt, "usedMilliCores", "thousandths of a core"))
                .setUsedMemoryMb(amount(attempt, "usedMemoryMb", "megabytes"))
                .build();
    }

    private static AnnounceProto readAnnouncement(Settings body) throws SettingsException {
        AnnounceProto announcement = AnnounceProto.newBuilder()
                .setEndpoint(id(body, "endpoint"))
                .setService(id(body, "service"))
                .setFailureDomain(id(body, "failureDomain"))
                .setHost(body.text("host", "an IP number"))
                .setPort(body.integer("port", 1, MAX_PORT, "port number"))
                .setSlots(body.integer("slots", 1, MAX_SLOTS, "calls at once"))
                .setConnections(body.integer("connections", 1, MAX_SLOTS, "connections"))
                .setOwner(body.optionalText("owner", "an entry's id").orElse(""))
                .setEpoch(body.optionalLong("epoch", 0, MAX_AMOUNT, "number").orElse(0))
                .setLeaving(body.flag("leaving"))
                .setBusyElsewhere(body.integer("busyElsewhere", 0, 0, MAX_SLOTS, "calls"))
                .build();
        body.throwIfInvalid();
        return announcement;
    }

    private static String id(Settings body, String key) {
        String id = body.text(key, Ids.FORMAT);
        if (!Ids.isValid(id)) {
            body.reject(key, id, Ids.FORMAT);
        }
        return id;
    }

    private static long amount(Settings body, String key, String unit) {
        return body.optionalLong(key, 0, MAX_AMOUNT, unit).orElse(0);
    }

    private static ObjectNode describe(HeartbeatAnswerProto answer) {
        ObjectNode body = ApiResponse.object().put("nextHeartbeatMs", answer.getNextHeartbeatMs());
        ArrayNode held = body.putArray("held");
        for (AssignmentProto assignment : answer.getHeldList()) {
            describe(assignment.getAttempt(), held.addObject())
                    .put("leaseMs", assignment.getLeaseMs())
                    .put("milliCores", assignment.getResources().getMilliCores())
                    .put("memoryMb", assignment.getResources().getMemoryMb())
                    .put("accelerators", assignment.getResources().getAccelerators())
                    .put("payload", assignment.getPayload());
        }
        ArrayNode stop = body.putArray("stop");
        answer.getStopList().forEach(attempt -> describe(attempt, stop.addObject()));
        ArrayNode checkpoint = body.putArray("checkpoint");
        answer.getCheckpointList().forEach(attempt -> describe(attempt, checkpoint.addObject()));
        ArrayNode acknowledged = body.putArray("acknowledged");
        answer.getAcknowledgedList().forEach(attempt -> describe(attempt, acknowledged.addObject()));
        return body;
    }

    private static ObjectNode describe(AttemptProto attempt, ObjectNode node) {
        return node.put("job", attempt.getJob()).put("task", attempt.getTask()).put("attempt", attempt.getAttempt());
    }
}
