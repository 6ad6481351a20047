package org.lovagegrade.entry.calls;

/** Why it is not known whether a call ran. */
public enum UnknownOutcomeReason {
    /** The connection broke after a byte may have left. */
    CONNECTION_LOST("connectionLost"),
    /** The connection went silent. */
    CONNECTION_SILENT("connectionSilent"),
    /** The answer was cut short. */
    ANSWER_CUT_SHORT("answerCutShort"),
    /** The answer does not say where it ends. */
    ANSWER_WITHOUT_LENGTH("answerWithoutLength"),
    /** The answer belongs to another call. */
    ANSWER_OF_OTHER_CALL("answerOfOtherCall"),
    /** The answer is larger than allowed. */
    ANSWER_TOO_LARGE("answerTooLarge"),
    /** The deadline passed while the call ran. */
    DEADLINE_PASSED("deadlinePassed"),
    /** The entry that owns the endpoint did not answer. */
    OWNER_LOST("ownerLost");

    private final String text;

    UnknownOutcomeReason(String text) {
        this.text = text;
    }

    /**
     * The name in answers and logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
