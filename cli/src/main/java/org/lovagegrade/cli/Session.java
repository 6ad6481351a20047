package org.lovagegrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.lovagegrade.cli.api.ApiCall;
import org.lovagegrade.cli.api.ApiClient;
import org.lovagegrade.cli.api.ApiReply;

/** What every command shares: the client, the keys, and how answers are shown. */
public final class Session implements AutoCloseable {
    private static final int REQUEST_ID_BYTES = 8;

    private final CommandLine line;
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final ApiClient client;

    /**
     * Creates a session.
     *
     * @param line the parsed command line
     * @param environment the environment variables
     * @param out where answers go
     * @param err where problems go
     */
    public Session(CommandLine line, Map<String, String> environment, PrintStream out, PrintStream err) {
        this.line = line;
        this.environment = environment;
        this.out = out;
        this.err = err;
        this.client = new ApiClient(
                List.of(option("entry", "LOVAGEGRADE_ENTRY", "127.0.0.1:7400").split(",")));
    }

    /**
     * Reads an option of the command line.
     *
     * @param name the long name
     * @return its value, or an empty text
     */
    public String option(String name) {
        return line.getOptionValue(name, "");
    }

    /**
     * Whether a flag is set.
     *
     * @param name the long name
     * @return true if so
     */
    public boolean has(String name) {
        return line.hasOption(name);
    }

    /**
     * The words that are no options.
     *
     * @return the words after the command
     */
    public List<String> words() {
        return line.getArgList();
    }

    /**
     * The id by which resends of this command are told.
     *
     * @param what the beginning of a new id
     * @return the one given, or a new one
     */
    public String requestId(String what) {
        String given = option("request-id");
        if (!given.isEmpty()) {
            return given;
        }
        byte[] random = new byte[REQUEST_ID_BYTES];
        new SecureRandom().nextBytes(random);
        return what + "-" + HexFormat.of().formatHex(random);
    }

    /**
     * Sends a request with the keys at hand.
     *
     * @param call the request
     * @return the answer
     */
    public ApiReply send(ApiCall call) {
        return client.send(call.with("Lovagegrade-Key", option("key", "LOVAGEGRADE_KEY", ""))
                .with("Lovagegrade-Operator-Key", option("operator-key", "LOVAGEGRADE_OPERATOR_KEY", ""))
                .with("Lovagegrade-Operator", option("operator", "LOVAGEGRADE_OPERATOR", "")));
    }

    /**
     * Shows an answer: as it came with {@code --json}, else in words; problems go to the error stream.
     *
     * @param reply the answer
     * @param words tells a good answer in words
     * @return what to tell the shell
     */
    public ExitCode show(ApiReply reply, Wording words) {
        if (has("json")) {
            out.println(reply.text().strip());
        } else if (reply.isDone()) {
            words.print(reply.json(), out);
        } else {
            err.println(reply.problem());
        }
        return reply.exitCode();
    }

    /**
     * Prints a line for people.
     *
     * @param text the line
     */
    public void say(String text) {
        if (!has("json")) {
            out.println(text);
        }
    }

    /**
     * Prints a line for programs.
     *
     * @param json the line, one JSON value
     */
    public void sayJson(String json) {
        if (has("json")) {
            out.println(json);
        }
    }

    /** Tells a good answer in words. */
    @FunctionalInterface
    public interface Wording {
        /**
         * Prints.
         *
         * @param json the answer
         * @param out where to print
         */
        void print(JsonNode json, PrintStream out);
    }

    @Override
    public void close() {
        client.close();
    }

    private String option(String name, String variable, String fallback) {
        return line.getOptionValue(name, environment.getOrDefault(variable, fallback));
    }
}
