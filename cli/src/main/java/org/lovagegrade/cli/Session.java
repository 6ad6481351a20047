package org.lovagegrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.lovagegrade.cli.api.ApiClient;
import org.lovagegrade.cli.api.ApiReply;
import org.lovagegrade.cli.api.ApiRequest;

/** Shared by all commands: reads options, sends requests with the configured keys and prints replies. */
public final class Session implements AutoCloseable {
    private static final int REQUEST_ID_BYTES = 8;

    private final CommandLine commandLine;
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final ApiClient client;

    /**
     * Creates a session.
     *
     * @param commandLine the parsed command line
     * @param environment the environment variables
     * @param out receives the output
     * @param err receives refusals and failures
     */
    public Session(CommandLine commandLine, Map<String, String> environment, PrintStream out, PrintStream err) {
        this.commandLine = commandLine;
        this.environment = environment;
        this.out = out;
        this.err = err;
        this.client = new ApiClient(
                List.of(option("entry", "LOVAGEGRADE_ENTRY", "127.0.0.1:7400").split(",")));
    }

    /**
     * Returns the value of an option.
     *
     * @param name the long name
     * @return the value, or an empty string if the option is missing
     */
    public String option(String name) {
        return commandLine.getOptionValue(name, "");
    }

    /**
     * Returns whether an option is present.
     *
     * @param name the long name
     * @return true if it is present
     */
    public boolean hasOption(String name) {
        return commandLine.hasOption(name);
    }

    /**
     * Returns the positional arguments.
     *
     * @return the arguments after the command that are not options
     */
    public List<String> arguments() {
        return commandLine.getArgList();
    }

    /**
     * Returns the request id, which identifies retries of the same command.
     *
     * @param prefix the prefix of a generated id
     * @return the value of {@code --request-id}, or a new random id
     */
    public String requestId(String prefix) {
        String given = option("request-id");
        if (!given.isEmpty()) {
            return given;
        }
        byte[] random = new byte[REQUEST_ID_BYTES];
        new SecureRandom().nextBytes(random);
        return prefix + "-" + HexFormat.of().formatHex(random);
    }

    /**
     * Sends a request with the team's key, the operator's key and the operator's name, if they are set.
     *
     * @param request the request
     * @return the reply
     */
    public ApiReply send(ApiRequest request) {
        return client.send(request.withHeader("Lovagegrade-Key", option("key", "LOVAGEGRADE_KEY", ""))
                .withHeader("Lovagegrade-Operator-Key", option("operator-key", "LOVAGEGRADE_OPERATOR_KEY", ""))
                .withHeader("Lovagegrade-Operator", option("operator", "LOVAGEGRADE_OPERATOR", "")));
    }

    /**
     * Prints a reply: with {@code --json} its unchanged body, else formatted by {@code printer}, or to the error stream
     * if the request did not succeed.
     *
     * @param reply the reply
     * @param printer formats a successful reply
     * @return the exit code
     */
    public ExitCode printReply(ApiReply reply, ReplyPrinter printer) {
        if (hasOption("json")) {
            out.println(reply.text().strip());
        } else if (reply.isSuccess()) {
            printer.print(reply.json(), out);
        } else {
            err.println(reply.errorText());
        }
        return reply.exitCode();
    }

    /**
     * Prints text, unless {@code --json} is set.
     *
     * @param text the text
     */
    public void printText(String text) {
        if (!hasOption("json")) {
            out.println(text);
        }
    }

    /**
     * Prints a table, unless {@code --json} is set.
     *
     * @param table the table
     * @param rows a JSON array of objects
     */
    public void printTable(Table table, JsonNode rows) {
        if (!hasOption("json")) {
            table.print(rows, out);
        }
    }

    /**
     * Prints why a command failed.
     *
     * @param text what was expected and what was found
     */
    public void printError(String text) {
        err.println(text);
    }

    /**
     * Prints a JSON value, only if {@code --json} is set.
     *
     * @param json the value, on one line
     */
    public void printJson(String json) {
        if (hasOption("json")) {
            out.println(json);
        }
    }

    /** Formats a successful reply as text. */
    @FunctionalInterface
    public interface ReplyPrinter {
        /**
         * Prints the reply.
         *
         * @param json the body of the reply
         * @param out the output
         */
        void print(JsonNode json, PrintStream out);
    }

    @Override
    public void close() {
        client.close();
    }

    private String option(String name, String variable, String fallback) {
        return commandLine.getOptionValue(name, environment.getOrDefault(variable, fallback));
    }
}
