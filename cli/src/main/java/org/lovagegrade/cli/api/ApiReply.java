package org.lovagegrade.cli.api;

import com.fasterxml.jackson.databind.JsonNode;
import org.lovagegrade.cli.ExitCode;

/**
 * What an entry answered.
 *
 * @param exitCode what it means for the shell
 * @param httpStatus the HTTP status, 0 if no entry answered
 * @param text the body as it came
 * @param json the body, an empty object if it is no JSON
 */
public record ApiReply(ExitCode exitCode, int httpStatus, String text, JsonNode json) {
    /**
     * Whether the command was done.
     *
     * @return true if so
     */
    public boolean isDone() {
        return exitCode == ExitCode.DONE;
    }

    /**
     * Words a refusal or doubt for people.
     *
     * @return the reason and its detail
     */
    public String problem() {
        String outcome = exitCode == ExitCode.UNKNOWN ? "unknown whether it ran" : "refused, it did not run";
        return outcome + "\n  reason: " + json.path("reason").asText("noAnswer") + "\n  detail: "
                + json.path("detail").asText(text);
    }
}
