package org.lovagegrade.cli.commands;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import org.apache.commons.cli.Options;
import org.lovagegrade.cli.Command;
import org.lovagegrade.cli.ExitCode;
import org.lovagegrade.cli.Session;
import org.lovagegrade.cli.Table;
import org.lovagegrade.cli.UsageException;
import org.lovagegrade.cli.api.ApiCall;
import org.lovagegrade.cli.api.ApiClient;
import org.lovagegrade.cli.api.ApiReply;
import org.lovagegrade.kernel.KeyDigest;

/** The commands by which operators change workspaces, classes and keys. */
public final class ConfigCommands {
    private static final String BASE_REVISION = "base-revision";
    private static final int SECRET_BYTES = 24;

    private ConfigCommands() {}

    /**
     * The commands.
     *
     * @return {@code workspace}, {@code class} and {@code key}
     */
    public static List<Command> all() {
        return List.of(
                new Command(
                        "team",
                        "set|remove|list [TEAM]",
                        "set a team's share and limits",
                        workspaceOptions(),
                        session -> change(session, "teams", ConfigCommands::workspaceBody)),
                new Command(
                        "class",
                        "set|remove|list [CLASS]",
                        "set a class of work and its targets",
                        classOptions(),
                        session -> change(session, "classes", ConfigCommands::classBody)),
                new Command(
                        "key",
                        "give|withdraw|list [KEY-ID]",
                        "give or withdraw a team's key",
                        keyOptions(),
                        ConfigCommands::key));
    }

    /** Reads the body of a change from the command line. */
    @FunctionalInterface
    private interface Body {
        ObjectNode read(Session session) throws UsageException;
    }

    private static Options baseOptions() {
        Options options = new Options();
        options.addOption(null, BASE_REVISION, true, "the revision that the change is based on; default: the present");
        return options;
    }

    private static Options workspaceOptions() {
        Options options = baseOptions();
        options.addOption(null, "share", true, "part of a full cell, from 0 to 1");
        options.addOption(null, "limit-cores", true, "most cores that may run");
        options.addOption(null, "limit-memory-mb", true, "most memory that may run, in MB");
        options.addOption(null, "limit-accelerators", true, "most accelerators that may run");
        options.addOption(null, "limit-calls", true, "most calls in flight");
        return options;
    }

    private static Options classOptions() {
        Options options = baseOptions();
        options.addOption(null, "kind", true, "service, batch or gang");
        options.addOption(null, "wait-target-ms", true, "how long work may wait");
        options.addOption(null, "recovery-target-ms", true, "how soon lost work is to run again");
        options.addOption(null, "share-target-ms", true, "how soon a team is to reach its share");
        options.addOption(null, "open-team", true, "the team that pays for work sent without a key");
        return options;
    }

    private static Options keyOptions() {
        Options options = baseOptions();
        options.addOption(null, "team", true, "the team that the key is for");
        options.addOption(null, "secret", true, "the secret; default: a new random one, shown once");
        return options;
    }

    private static ObjectNode workspaceBody(Session session) throws UsageException {
        ObjectNode body = ApiClient.object().put("share", 0.0);
        if (session.has("share")) {
            body.put("share", Words.decimal(session, "share"));
        }
        if (session.has("limit-cores")) {
            body.put("limitCores", Words.decimal(session, "limit-cores"));
        }
        Words.putWhole(session, body, "limit-memory-mb", "limitMemoryMb");
        Words.putWhole(session, body, "limit-accelerators", "limitAccelerators");
        Words.putWhole(session, body, "limit-calls", "limitCalls");
        return body;
    }

    private static ObjectNode classBody(Session session) throws UsageException {
        ObjectNode body = ApiClient.object().put("kind", session.option("kind"));
        Words.putWhole(session, body, "wait-target-ms", "waitTargetMs");
        Words.putWhole(session, body, "recovery-target-ms", "recoveryTargetMs");
        Words.putWhole(session, body, "share-target-ms", "shareTargetMs");
        if (session.has("open-team")) {
            body.put("openTeam", session.option("open-team"));
        }
        return body;
    }

    private static ExitCode change(Session session, String kind, Body body) throws UsageException {
        String action = Words.at(session, 0, "set, remove or list");
        return switch (action) {
            case "list" -> list(session, kind);
            case "set" -> put(session, kind, body.read(session));
            case "remove" -> delete(session, kind);
            default -> throw new UsageException("set, remove or list", action);
        };
    }

    private static ExitCode key(Session session) throws UsageException {
        String action = Words.at(session, 0, "give, withdraw or list");
        return switch (action) {
            case "list" -> list(session, "keys");
            case "withdraw" -> delete(session, "keys");
            case "give" -> give(session);
            default -> throw new UsageException("give, withdraw or list", action);
        };
    }

    private static ExitCode give(Session session) throws UsageException {
        if (!session.has("team")) {
            throw new UsageException("--team TEAM", "no --team");
        }
        String secret = session.has("secret") ? session.option("secret") : newSecret();
        ObjectNode body =
                ApiClient.object().put("team", session.option("team")).put("secretSha256", KeyDigest.of(secret));
        ExitCode exitCode = put(session, "keys", body);
        if (exitCode == ExitCode.DONE && !session.has("secret")) {
            session.say("the secret, shown this once: " + secret);
        }
        return exitCode;
    }

    private static String newSecret() {
        byte[] random = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    private static ExitCode list(Session session, String kind) {
        ApiReply reply = session.send(ApiCall.get("/v1/config"));
        Table table = switch (kind) {
            case "teams" ->
                Table.of("id", "share", "limitCores", "limitMemoryMb", "limitAccelerators", "limitCalls", "revision");
            case "classes" ->
                Table.of("id", "kind", "waitTargetMs", "recoveryTargetMs", "shareTargetMs", "openTeam", "revision");
            default -> Table.of("id", "team", "revision");
        };
        return session.show(reply, (json, out) -> table.print(json.path(kind), out));
    }

    private static ExitCode put(Session session, String kind, ObjectNode body) throws UsageException {
        return send(session, "PUT", kind, body.toString());
    }

    private static ExitCode delete(Session session, String kind) throws UsageException {
        return send(session, "DELETE", kind, "");
    }

    private static ExitCode send(Session session, String method, String kind, String body) throws UsageException {
        String id = Words.at(session, 1, "an id");
        ApiCall call = ApiCall.command(method, "/v1/" + kind + "/" + id, session.requestId(kind))
                .withBody(body);
        if (session.has(BASE_REVISION)) {
            call = call.with("Lovagegrade-Base-Revision", session.option(BASE_REVISION));
        } else {
            ApiReply present = session.send(ApiCall.get("/v1/config"));
            if (!present.isDone()) {
                return session.show(present, (_json, _out) -> {});
            }
            call = call.with("Lovagegrade-Base-Revision", presentRevision(present.json(), kind, id));
        }
        return session.show(
                session.send(call),
                (json, out) -> out.println(kind + "/" + id + " accepted at revision "
                        + json.path("revision").asLong()));
    }

    private static String presentRevision(JsonNode config, String kind, String id) {
        for (JsonNode object : config.path(kind)) {
            if (object.path("id").asText().equals(id)) {
                return object.path("revision").asText();
            }
        }
        return "0";
    }
}
