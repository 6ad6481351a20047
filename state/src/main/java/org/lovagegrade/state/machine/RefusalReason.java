package org.lovagegrade.state.machine;

import java.util.Arrays;
import java.util.Optional;
import org.lovagegrade.wire.proto.OutcomeProto;

/** Why the state machine refused a command; a refused command changed nothing. */
public enum RefusalReason {
    /** The key is not known or was withdrawn. */
    WRONG_KEY("wrongKey"),
    /** The key belongs to another workspace than the work names. */
    KEY_OF_OTHER_WORKSPACE("keyOfOtherTeam"),
    /** No such workspace. */
    UNKNOWN_WORKSPACE("unknownTeam"),
    /** No such class. */
    UNKNOWN_CLASS("unknownClass"),
    /** No such job. */
    UNKNOWN_JOB("unknownJob"),
    /** No such key id. */
    UNKNOWN_KEY_ID("unknownKeyId"),
    /** A job of this id exists. */
    DUPLICATE_JOB("duplicateJob"),
    /** A value is out of its bounds. */
    BAD_VALUE("badValue"),
    /** The object is still used by others. */
    STILL_IN_USE("stillInUse"),
    /** The change was based on an older revision. */
    REVISION_CONFLICT("revisionConflict"),
    /** The job is over. */
    JOB_IS_OVER("jobIsOver");

    private final String text;

    RefusalReason(String text) {
        this.text = text;
    }

    /**
     * Reads the reason of an answer.
     *
     * @param outcome the answer
     * @return the reason, or empty if the command was not refused
     */
    public static Optional<RefusalReason> of(OutcomeProto outcome) {
        return Arrays.stream(values())
                .filter(reason -> reason.text.equals(outcome.getReason()))
                .findFirst();
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
