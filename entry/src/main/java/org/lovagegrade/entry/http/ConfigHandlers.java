package org.lovagegrade.entry.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.StatusCodes;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lovagegrade.entry.view.View;
import org.lovagegrade.entry.view.ViewKeeper;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;
import org.lovagegrade.wire.proto.ClassKindProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.TeamKeyProto;
import org.lovagegrade.wire.proto.TeamProto;
import org.lovagegrade.wire.proto.WorkClassProto;

/** Changes and shows teams, classes and keys; for operators only. */
final class ConfigHandlers {
    private static final double MOST_CORES = 1e9;
    private static final double MILLI_CORES_PER_CORE = 1_000;
    private static final long MOST_AMOUNT = 1L << 50;
    private static final long MOST_TARGET_MS = 365L * 24 * 3_600 * 1_000;
    private static final int DIGEST_DIGITS = 64;

    private final Commands commands;
    private final Operators operators;
    private final ViewKeeper views;

    ConfigHandlers(Commands commands, Operators operators, ViewKeeper views) {
        this.commands = commands;
        this.operators = operators;
        this.views = views;
    }

    void setTeam(ApiRequest request, Consumer<ApiAnswer> reply) throws SettingsException {
        Settings body = request.json();
        OptionalDouble share = body.decimal("share", 0, 1, "part of the cell");
        OptionalDouble cores = body.decimal("limitCores", 0, MOST_CORES, "cores");
        OptionalLong memoryMb = body.whole("limitMemoryMb", 0, MOST_AMOUNT, "megabytes");
        OptionalLong accelerators = body.whole("limitAccelerators", 0, MOST_AMOUNT, "accelerators");
        OptionalLong calls = body.whole("limitCalls", 0, MOST_AMOUNT, "calls in flight");
        body.finish();
        TeamProto.Builder team = TeamProto.newBuilder().setId(request.pathPart("id"));
        share.ifPresent(team::setShare);
        cores.ifPresent(value -> team.setLimitMilliCores(Math.round(value * MILLI_CORES_PER_CORE)));
        memoryMb.ifPresent(team::setLimitMemoryMb);
        accelerators.ifPresent(team::setLimitAccelerators);
        calls.ifPresent(team::setLimitCalls);
        change(request, ConfigChangeProto.newBuilder().setSetTeam(team), reply);
    }

    void removeTeam(ApiRequest request, Consumer<ApiAnswer> reply) {
        change(request, ConfigChangeProto.newBuilder().setRemoveTeam(request.pathPart("id")), reply);
    }

    void setClass(ApiRequest request, Consumer<ApiAnswer> reply) throws SettingsException {
        Settings body = request.json();
        String kind = body.text("kind", "service, batch or gang");
        OptionalLong waitTargetMs = body.whole("waitTargetMs", 1, MOST_TARGET_MS, "milliseconds");
        OptionalLong recoveryTargetMs = body.whole("recoveryTargetMs", 1, MOST_TARGET_MS, "milliseconds");
        OptionalLong shareTargetMs = body.whole("shareTargetMs", 1, MOST_TARGET_MS, "milliseconds");
        String openTeam = body.optionalText("openTeam", "a team's id").orElse("");
        ClassKindProto parsed = switch (kind) {
            case "service" -> ClassKindProto.SERVICE;
            case "batch" -> ClassKindProto.BATCH;
            case "gang" -> ClassKindProto.GANG;
            default -> null;
        };
        if (parsed == null) {
            body.reject("kind", kind, "service, batch or gang");
        }
        body.finish();
        WorkClassProto.Builder workClass = WorkClassProto.newBuilder()
                .setId(request.pathPart("id"))
                .setKind(parsed)
                .setOpenTeam(openTeam);
        waitTargetMs.ifPresent(workClass::setWaitTargetMs);
        recoveryTargetMs.ifPresent(workClass::setRecoveryTargetMs);
        shareTargetMs.ifPresent(workClass::setShareTargetMs);
        change(request, ConfigChangeProto.newBuilder().setSetClass(workClass), reply);
    }

    void removeClass(ApiRequest request, Consumer<ApiAnswer> reply) {
        change(request, ConfigChangeProto.newBuilder().setRemoveClass(request.pathPart("id")), reply);
    }

    void giveKey(ApiRequest request, Consumer<ApiAnswer> reply) throws SettingsException {
        Settings body = request.json();
        String team = body.text("team", "a team's id");
        String digest = body.text("secretSha256", "the SHA-256 of the secret in 64 hexadecimal digits");
        if (digest.length() != DIGEST_DIGITS) {
            body.reject("secretSha256", digest, "64 hexadecimal digits");
        }
        body.finish();
        TeamKeyProto key = TeamKeyProto.newBuilder()
                .setId(request.pathPart("id"))
                .setTeam(team)
                .setSecretSha256(digest)
                .build();
        change(request, ConfigChangeProto.newBuilder().setGiveKey(key), reply);
    }

    void withdrawKey(ApiRequest request, Consumer<ApiAnswer> reply) {
        change(request, ConfigChangeProto.newBuilder().setWithdrawKey(request.pathPart("id")), reply);
    }

    void show(ApiRequest request, Consumer<ApiAnswer> reply) {
        if (!operators.isOperator(request)) {
            reply.accept(notOperator());
            return;
        }
        View view = views.view();
        ObjectNode body = ApiAnswer.object().put("revision", view.revision()).put("inForce", views.isFresh());
        ArrayNode teams = body.putArray("teams");
        view.config().getTeamsList().forEach(team -> describe(team, teams.addObject()));
        ArrayNode classes = body.putArray("classes");
        view.config().getClassesList().forEach(workClass -> describe(workClass, classes.addObject()));
        ArrayNode keys = body.putArray("keys");
        view.config()
                .getKeysList()
                .forEach(key -> keys.addObject()
                        .put("id", key.getId())
                        .put("team", key.getTeam())
                        .put("revision", key.getRevision()));
        reply.accept(ApiAnswer.ok(body));
    }

    private static void describe(TeamProto team, ObjectNode node) {
        node.put("id", team.getId()).put("share", team.getShare()).put("revision", team.getRevision());
        if (team.hasLimitMilliCores()) {
            node.put("limitCores", team.getLimitMilliCores() / MILLI_CORES_PER_CORE);
        }
        if (team.hasLimitMemoryMb()) {
            node.put("limitMemoryMb", team.getLimitMemoryMb());
        }
        if (team.hasLimitAccelerators()) {
            node.put("limitAccelerators", team.getLimitAccelerators());
        }
        if (team.hasLimitCalls()) {
            node.put("limitCalls", team.getLimitCalls());
        }
    }

    private static void describe(WorkClassProto workClass, ObjectNode node) {
        node.put("id", workClass.getId())
                .put("kind", workClass.getKind().name().toLowerCase(Locale.ROOT))
                .put("openTeam", workClass.getOpenTeam())
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

    private void change(ApiRequest request, ConfigChangeProto.Builder change, Consumer<ApiAnswer> reply) {
        if (!operators.isOperator(request)) {
            reply.accept(notOperator());
            return;
        }
        String id = request.pathPart("id");
        String requestId = request.header(ApiHeaders.REQUEST_ID);
        String base = request.header(ApiHeaders.BASE_REVISION);
        if (!Ids.isGood(id) || !Ids.isGood(requestId) || !base.matches("[0-9]{1,18}")) {
            reply.accept(ApiAnswer.refused(
                    StatusCodes.BAD_REQUEST,
                    "badRequest",
                    "expected: an id and a request id of " + Ids.EXPECTED + ", and a base revision; actual: id '" + id
                            + "', request id '" + requestId + "', base revision '" + base + "'"));
            return;
        }
        ConfigureProto configure = ConfigureProto.newBuilder()
                .setOperator(operators.nameOf(request))
                .setBaseRevision(Long.parseLong(base))
                .setChange(change)
                .build();
        commands.send(
                CommandProto.newBuilder()
                        .setRequestId(requestId)
                        .setConfigure(configure)
                        .build(),
                reply);
    }

    private static ApiAnswer notOperator() {
        return ApiAnswer.refused(StatusCodes.UNAUTHORIZED, "wrongOperatorKey", "expected: an operator's key");
    }
}
