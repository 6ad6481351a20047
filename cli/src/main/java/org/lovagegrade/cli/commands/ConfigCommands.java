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
import org.lovagegrade.cli.api.ApiClient;
import org.lovagegrade.cli.api.ApiReply;
import org.lovagegrade.cli.api.ApiRequest;
import org.lovagegrade.kernel.KeyDigest;

/** The commands with which operators change workspaces, work classes and keys. */
public final class ConfigCommands {
    static final String BASE_REVISION = "base-revision";

    private static final int SECRET_BYTES = 24;

    private ConfigCommands() {}

    /**
     * Returns the commands.
     *
     * @return {@code team}, {@code class} and {@code key}
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
                        "set a work class and its targets",
                        classOptions(),
                        session -> change(session, "classes", ConfigCommands::classBody)),
                new Command(
                        "key",
                        "give|withdraw|list [KEY-ID]",
                        "give or withdraw a team's key",
                        keyOptions(),
                        ConfigCommands::key));
    }

    /** Builds the body of a change from the options. */
    @FunctionalInterface
    private interface BodyBuilder {
        ObjectNode build(Session session) throws UsageException;
    }

    static Options baseOptions() {
        Options options = new Options();
        options.addOption(
                null, BASE_REVISION, true, "the revision that the change is based on; default: the current one");
        return options;
    }

    private static Options workspaceOptions() {
        Options options = baseOptions();
        options.addOption(null, "share", true, "share of the cell when it is full, from 0 to 1");
        options.addOption(null, "limit-cores", true, "maximum cores in use");
        options.addOption(null, "limit-memory-mb", true, "maximum memory in use, in MB");
        options.addOption(null, "limit-accelerators", true, "maximum accelerators in use");
        options.addOption(null, "limit-calls", true, "maximum calls in flight");
        return options;
    }

    private static Options classOptions() {
        Options options = baseOptions();
        options.addOption(null, "kind", true, "service, batch or gang");
        options.addOption(null, "wait-target-ms", true, "target for the waiting time, in ms");
        options.addOption(null, "recovery-target-ms", true, "target for the time until lost work runs again, in ms");
        options.addOption(null, "share-target-ms", true, "target for the time until a team reaches its share, in ms");
        options.addOption(null, "open-team", true, "the team charged for work sent without a key");
        return options;
    }

    private static Options keyOptions() {
        Options options = baseOptions();
        options.addOption(null, "team", true, "the team that the key belongs to");
        options.addOption(null, "secret", true, "the secret; default: a new random one, shown once");
        return options;
    }

    private static ObjectNode workspaceBody(Session session) throws UsageException {
        ObjectNode body = ApiClient.newObject().put("share", 0.0);
        if (session.hasOption("share")) {
            body.put("share", Arguments.doubleOption(session, "share"));
        }
        if (session.hasOption("limit-cores")) {
            body.put("limitCores", Arguments.doubleOption(session, "limit-cores"));
        }
        Arguments.putLongOption(session, body, "limit-memory-mb", "limitMemoryMb");
        Arguments.putLongOption(session, body, "limit-accelerators", "limitAccelerators");
        Arguments.putLongOption(session, body, "limit-calls", "limitCalls");
        return body;
    }

    private static ObjectNode classBody(Session session) throws UsageException {
        ObjectNode body = ApiClient.newObject().put("kind", session.option("kind"));
        Arguments.putLongOption(session, body, "wait-target-ms", "waitTargetMs");
        Arguments.putLongOption(session, body, "recovery-target-ms", "recoveryTargetMs");
        Arguments.putLongOption(session, body, "share-target-ms", "shareTargetMs");
        if (session.hasOption("open-team")) {
            body.put("openTeam", session.option("open-team"));
        }
        return body;
    }

    private static ExitCode change(Session session, String collection, BodyBuilder bodyBuilder) throws UsageException {
        String action = Arguments.required(session, 0, "set, remove or list");
        return switch (action) {
            case "list" -> list(session, collection);
            case "set" -> put(session, collection, bodyBuilder.build(session));
            case "remove" -> delete(session, collection);
            default -> throw new UsageException("set, remove or list", action);
        };
    }

    private static ExitCode key(Session session) throws UsageException {
        String action = Arguments.required(session, 0, "give, withdraw or list");
        return switch (action) {
            case "list" -> list(session, "keys");
            case "withdraw" -> delete(session, "keys");
            case "give" -> give(session);
            default -> throw new UsageException("give, withdraw or list", action);
        };
    }

    private static ExitCode give(Session session) throws UsageException {
        if (!session.hasOption("team")) {
            throw new UsageException("--team TEAM", "no --team");
        }
        String secret = session.hasOption("secret") ? session.option("secret") : newSecret();
        ObjectNode body =
                ApiClient.newObject().put("team", session.option("team")).put("secretSha256", KeyDigest.of(secret));
        ExitCode exitCode = put(session, "keys", body);
        if (exitCode == ExitCode.SUCCESS && !session.hasOption("secret")) {
            session.printText("the secret, shown only once: " + secret);
        }
        return exitCode;
    }

    private static String newSecret() {
        byte[] random = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    private static ExitCode list(Session session, String collection) {
        ApiReply reply = session.send(ApiRequest.get("/v1/config"));
        Table table = switch (collection) {
            case "teams" ->
                Table.of("id", "share", "limitCores", "limitMemoryMb", "limitAccelerators", "limitCalls", "revision");
            case "classes" ->
                Table.of("id", "kind", "waitTargetMs", "recoveryTargetMs", "shareTargetMs", "openTeam", "revision");
            default -> Table.of("id", "team", "revision");
        };
        return session.printReply(reply, (json, out) -> table.print(json.path(collection), out));
    }

    private static ExitCode put(Session session, String collection, ObjectNode body) throws UsageException {
        return send(session, "PUT", collection, Arguments.required(session, 1, "an id"), body.toString());
    }

    private static ExitCode delete(Session session, String collection) throws UsageException {
        return send(session, "DELETE", collection, Arguments.required(session, 1, "an id"), "");
    }

    /** Sends a change of an object, based on its current revision unless the command line names another. */
    static ExitCode send(Session session, String method, String collection, String id, String body) {
        ApiRequest request = ApiRequest.command(method, "/v1/" + collection + "/" + id, session.requestId(collection))
                .withBody(body);
        if (session.hasOption(BASE_REVISION)) {
            request = request.withHeader("Lovagegrade-Base-Revision", session.option(BASE_REVISION));
        } else {
            ApiReply currentConfig = session.send(ApiRequest.get("/v1/config"));
            if (!currentConfig.isSuccess()) {
                return session.printReply(currentConfig, (_json, _out) -> {});
            }
            request = request.withHeader(
                    "Lovagegrade-Base-Revision", currentRevision(currentConfig.json(), collection, id));
        }
        return session.printReply(
                session.send(request),
                (json, out) -> out.println(collection + "/" + id + " accepted at revision "
                        + json.path("revision").asLong()));
    }

    private static String currentRevision(JsonNode config, String collection, String id) {
        for (JsonNode object : config.path(collection)) {
            if (object.path("id").asText().equals(id)) {
                return object.path("revision").asText();
            }
        }
        return "0";
    }
}
