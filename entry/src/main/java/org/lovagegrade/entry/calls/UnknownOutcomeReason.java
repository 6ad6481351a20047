package org.lovagegrade.entry.calls;

/** The reason why it is unknown whether a call ran. */
public enum UnknownOutcomeReason {
    /** The connection failed after part of the request may have been sent. */
    CONNECTION_LOST("connectionLost"),
    /** The connection became unresponsive. */
    CONNECTION_SILENT("connectionSilent"),
    /** The connection ended before the whole response was received. */
    ANSWER_CUT_SHORT("answerCutShort"),
    /** The response states neither its length nor a transfer encoding, so a truncated one would not be detected. */
    ANSWER_WITHOUT_LENGTH("answerWithoutLength"),
    /** The response carries the id of another call. */
    ANSWER_OF_OTHER_CALL("answerOfOtherCall"),
    /** The response exceeds the size limit. */
    ANSWER_TOO_LARGE("answerTooLarge"),
    /** The deadline passed after the call was sent to the endpoint. */
    DEADLINE_PASSED("deadlinePassed"),
    /** The entry to which the call was forwarded did not answer. */
    OWNER_LOST("ownerLost");

    private final String text;

    UnknownOutcomeReason(String text) {
        this.text = text;
    }

    /**
     * Returns the name that stands for this reason in responses, in logs and in messages between entries.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
