package org.lovagegrade.state.machine;

import java.util.Arrays;
import java.util.Optional;
import org.lovagegrade.wire.proto.OutcomeProto;

/** Why the state machine refused a command. A refused command changes nothing. */
public enum RefusalReason {
    /** The key does not exist or was withdrawn. */
    WRONG_KEY("wrongKey"),
    /** The key belongs to a workspace other than the job's. */
    KEY_OF_OTHER_WORKSPACE("keyOfOtherTeam"),
    /** The workspace does not exist. */
    UNKNOWN_WORKSPACE("unknownTeam"),
    /** The work class does not exist. */
    UNKNOWN_CLASS("unknownClass"),
    /** The job does not exist. */
    UNKNOWN_JOB("unknownJob"),
    /** No key has this id. */
    UNKNOWN_KEY_ID("unknownKeyId"),
    /** A job with this id already exists. */
    DUPLICATE_JOB("duplicateJob"),
    /** No worker and no entry has this failure domain. */
    UNKNOWN_DOMAIN("unknownDomain"),
    /** The job can't start while its result is useful. */
    OVERLOADED("overloaded"),
    /** A value is missing or out of range. */
    BAD_VALUE("badValue"),
    /** Other objects or jobs still use the object. */
    STILL_IN_USE("stillInUse"),
    /** The change is not based on the object's current revision. */
    REVISION_CONFLICT("revisionConflict"),
    /** The job has already finished. */
    JOB_IS_OVER("jobIsOver");

    private final String text;

    RefusalReason(String text) {
        this.text = text;
    }

    /**
     * Returns the reason that an outcome contains.
     *
     * @param outcome the outcome of a command
     * @return the reason, or empty if the outcome contains none
     */
    public static Optional<RefusalReason> of(OutcomeProto outcome) {
        return Arrays.stream(values())
                .filter(reason -> reason.text.equals(outcome.getReason()))
                .findFirst();
    }

    /**
     * Returns the name used in replies and logs.
     *
     * @return the name in camelCase
     */
    public String text() {
        return text;
    }
}
