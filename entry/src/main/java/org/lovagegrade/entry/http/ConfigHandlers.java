package org.lovagegrade.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lovagegrade.entry.view.ConfigView;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.proto.ClassKindProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.EvacuationProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** Handles changes and views of workspaces, work classes, keys and evacuations, for operators only. */
final class ConfigHandlers {
    private static final double MAX_CORES = 1e9;
    private static final double MILLI_CORES_PER_CORE = 1_000;
    private static final long MAX_AMOUNT = 1L << 50;
    private static final long MAX_TARGET_MS = 365L * 24 * 3_600 * 1_000;
    private static final int DIGEST_DIGITS = 64;

    private final LeaderGateway leader;
    private final OperatorKeys operatorKeys;
    private final ViewKeeper views;

    ConfigHandlers(LeaderGateway leader, OperatorKeys operatorKeys, ViewKeeper views) {
        this.leader = leader;
        this.operatorKeys = operatorKeys;
        this.views = views;
    }

    void setWorkspace(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException {
        Settings body = request.json();
        OptionalDouble share = body.optionalDouble("share", 0, 1, "part of the cell");
        OptionalDouble cores = body.optionalDouble("limitCores", 0, MAX_CORES, "cores");
        OptionalLong memoryMb = body.optionalLong("limitMemoryMb", 0, MAX_AMOUNT, "megabytes");
        OptionalLong accelerators = body.optionalLong("limitAccelerators", 0, MAX_AMOUNT, "accelerators");
        OptionalLong calls = body.optionalLong("limitCalls", 0, MAX_AMOUNT, "calls in flight");
        body.throwIfInvalid();
        WorkspaceProto.Builder workspace = WorkspaceProto.newBuilder().setId(request.pathParameter("id"));
        share.ifPresent(workspace::setShare);
        cores.ifPresent(value -> workspace.setLimitMilliCores(Math.round(value * MILLI_CORES_PER_CORE)));
        memoryMb.ifPresent(workspace::setLimitMemoryMb);
        accelerators.ifPresent(workspace::setLimitAccelerators);
        calls.ifPresent(workspace::setLimitCalls);
        change(request, ConfigChangeProto.newBuilder().setSetWorkspace(workspace), reply);
    }

    void removeWorkspace(ApiRequest request, Consumer<ApiResponse> reply) {
        change(request, ConfigChangeProto.newBuilder().setRemoveWorkspace(request.pathParameter("id")), reply);
    }

    void setClass(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException {
        Settings body = request.json();
        String kind = body.text("kind", "service, batch or gang");
        OptionalLong waitTargetMs = body.optionalLong("waitTargetMs", 1, MAX_TARGET_MS, "milliseconds");
        OptionalLong recoveryTargetMs = body.optionalLong("recoveryTargetMs", 1, MAX_TARGET_MS, "milliseconds");
        OptionalLong shareTargetMs = body.optionalLong("shareTargetMs", 1, MAX_TARGET_MS, "milliseconds");
        String openWorkspace = body.optionalText("openTeam", "a team's id").orElse("");
        ClassKindProto parsed = switch (kind) {
            case "service" -> ClassKindProto.SERVICE;
            case "batch" -> ClassKindProto.BATCH;
            case "gang" -> ClassKindProto.GANG;
            default -> null;
        };
        if (parsed == null) {
            body.reject("kind", kind, "service, batch or gang");
        }
        body.throwIfInvalid();
        WorkClassProto.Builder workClass = WorkClassProto.newBuilder()
                .setId(request.pathParameter("id"))
                .setKind(parsed)
                .setOpenWorkspace(openWorkspace);
        waitTargetMs.ifPresent(workClass::setWaitTargetMs);
        recoveryTargetMs.ifPresent(workClass::setRecoveryTargetMs);
        shareTargetMs.ifPresent(workClass::setShareTargetMs);
        change(request, ConfigChangeProto.newBuilder().setSetClass(workClass), reply);
    }

    void removeClass(ApiRequest request, Consumer<ApiResponse> reply) {
        change(request, ConfigChangeProto.newBuilder().setRemoveClass(request.pathParameter("id")), reply);
    }

    void giveKey(ApiRequest request, Consumer<ApiResponse> reply) throws SettingsException {
        Settings body = request.json();
        String workspace = body.text("team", "a team's id");
        String digest = body.text("secretSha256", "the SHA-256 of the secret in 64 hexadecimal digits");
        if (digest.length() != DIGEST_DIGITS) {
            body.reject("secretSha256", digest, "64 hexadecimal digits");
        }
        body.throwIfInvalid();
        WorkspaceKeyProto key = WorkspaceKeyProto.newBuilder()
                .setId(request.pathParameter("id"))
                .setWorkspace(workspace)
                .setSecretSha256(digest)
                .build();
        change(request, ConfigChangeProto.newBuilder().setGiveKey(key), reply);
    }

    void withdrawKey(ApiRequest request, Consumer<ApiResponse> reply) {
        change(request, ConfigChangeProto.newBuilder().setWithdrawKey(request.pathParameter("id")), reply);
    }

    void evacuate(ApiRequest request, Consumer<ApiResponse> reply) {
        change(request, evacuation(request, true), reply);
    }

    void endEvacuation(ApiRequest request, Consumer<ApiResponse> reply) {
        change(request, evacuation(request, false), reply);
    }

    private static ConfigChangeProto.Builder evacuation(ApiRequest request, boolean active) {
        return ConfigChangeProto.newBuilder()
                .setSetEvacuation(EvacuationProto.newBuilder()
                        .setFailureDomain(request.pathParameter("id"))
                        .setActive(active));
    }

    void show(ApiRequest request, Consumer<ApiResponse> reply) {
        if (!operatorKeys.isOperator(request)) {
            reply.accept(notOperator());
            return;
        }
        ConfigView view = views.view();
        ObjectNode body = ApiResponse.object().put("revision", view.revision()).put("inForce", views.hasValidLease());
        ArrayNode workspaces = body.putArray("teams");
        view.config().getWorkspacesList().forEach(workspace -> describe(workspace, workspaces.addObject()));
        ArrayNode classes = body.putArray("classes");
        view.config().getClassesList().forEach(workClass -> describe(workClass, classes.addObject()));
        ArrayNode keys = body.putArray("keys");
        view.config()
                .getKeysList()
                .forEach(key -> keys.addObject()
                        .put("id", key.getId())
                        .put("team", key.getWorkspace())
                        .put("revision", key.getRevision()));
        ArrayNode evacuations = body.putArray("evacuations");
        view.config()
                .getEvacuationsList()
                .forEach(evacuation -> evacuations
                        .addObject()
                        .put("id", evacuation.getFailureDomain())
                        .put("active", evacuation.getActive())
                        .put("revision", evacuation.getRevision()));
        reply.accept(ApiResponse.ok(body));
    }

    private static void describe(WorkspaceProto workspace, ObjectNode node) {
        node.put("id", workspace.getId()).put("share", workspace.getShare()).put("revision", workspace.getRevision());
        if (workspace.hasLimitMilliCores()) {
            node.put("limitCores", workspace.getLimitMilliCores() / MILLI_CORES_PER_CORE);
        }
        if (workspace.hasLimitMemoryMb()) {
            node.put("limitMemoryMb", workspace.getLimitMemoryMb());
        }
        if (workspace.hasLimitAccelerators()) {
            node.put("limitAccelerators", workspace.getLimitAccelerators());
        }
        if (workspace.hasLimitCalls()) {
            node.put("limitCalls", workspace.getLimitCalls());
        }
    }

    private static void describe(WorkClassProto workClass, ObjectNode node) {
        node.put("id", workClass.getId())
                .put("kind", workClass.getKind().name().toLowerCase(Locale.ROOT))
                .put("openTeam", workClass.getOpenWorkspace())
                .put("revision", workClass.getRevision());
        if (workClass.hasWaitTargetMs()) {
            node.put("waitTargetMs", workClass.getWaitTargetMs());
        }
        if (workClass.hasRecoveryTargetMs()) {
            node.put("recoveryTargetMs", workClass.getRecoveryTargetMs());
        }
        if (workClass.hasShareTargetMs()) {
            node.put("shareTargetMs", workClass.getShareTargetMs());
        }
    }

    private void change(ApiRequest request, ConfigChangeProto.Builder change, Consumer<ApiResponse> reply) {
        if (!operatorKeys.isOperator(request)) {
            reply.accept(notOperator());
            return;
        }
        String id = request.pathParameter("id");
        String requestId = request.header(ApiHeaders.REQUEST_ID);
        String baseRevision = request.header(ApiHeaders.BASE_REVISION);
        if (!Ids.isValid(id) || !Ids.isValid(requestId) || !baseRevision.matches("[0-9]{1,18}")) {
            reply.accept(ApiResponse.refused(
                    StatusCodes.BAD_REQUEST,
                    "badRequest",
                    "expected: an id and a request id of " + Ids.FORMAT + ", and a base revision; actual: id '" + id
                            + "', request id '" + requestId + "', base revision '" + baseRevision + "'"));
            return;
        }
        ConfigureProto configure = ConfigureProto.newBuilder()
                .setOperator(operatorKeys.nameOf(request))
                .setBaseRevision(Long.parseLong(baseRevision))
                .setChange(change)
                .build();
        leader.send(
                CommandProto.newBuilder()
                        .setRequestId(requestId)
                        .setConfigure(configure)
                        .build(),
                reply);
    }

    private static ApiResponse notOperator() {
        return ApiResponse.refused(StatusCodes.UNAUTHORIZED, "wrongOperatorKey", "expected: an operator's key");
    }
}
