package org.lovagegrade.cli.api;

import com.fasterxml.jackson.databind.JsonNode;
import org.lovagegrade.cli.ExitCode;

/**
 * The reply to a request.
 *
 * @param exitCode the exit code that it stands for
 * @param httpStatus the HTTP status, 0 if no entry answered
 * @param text the unchanged body
 * @param json the parsed body, or an empty object if it is not a JSON object
 */
public record ApiReply(ExitCode exitCode, int httpStatus, String text, JsonNode json) {
    /**
     * Returns whether the command succeeded.
     *
     * @return true if it succeeded
     */
    public boolean isSuccess() {
        return exitCode == ExitCode.SUCCESS;
    }

    /**
     * Returns the message for a request that was refused or whose outcome is unknown.
     *
     * @return the outcome, the reason and its detail, on three lines
     */
    public String errorText() {
        String outcome = exitCode == ExitCode.OUTCOME_UNKNOWN ? "unknown whether it ran" : "refused, it did not run";
        return outcome + "\n  reason: " + json.path("reason").asText("noAnswer") + "\n  detail: "
                + json.path("detail").asText(text);
    }
}
