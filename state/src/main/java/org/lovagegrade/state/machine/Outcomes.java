package org.lovagegrade.state.machine;

import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;

/** Factory methods for the outcomes of commands. */
public final class Outcomes {
    private Outcomes() {}

    /**
     * The command was applied.
     *
     * @param revision the configuration's revision after the command
     * @return the outcome
     */
    public static OutcomeProto ok(long revision) {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.OK)
                .setRevision(revision)
                .build();
    }

    /**
     * A job was accepted or cancelled.
     *
     * @param job the job's id
     * @return the outcome
     */
    public static OutcomeProto okForJob(String job) {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.OK)
                .setJob(job)
                .build();
    }

    /**
     * The command was refused and will not be applied later.
     *
     * @param reason why
     * @param detail the expected and the actual value, for human readers
     * @return the outcome
     */
    public static OutcomeProto refused(RefusalReason reason, String detail) {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.REFUSED)
                .setReason(reason.text())
                .setDetail(detail)
                .build();
    }

    /**
     * Another change of the same object was applied first.
     *
     * @param detail the object's current value and who changed it
     * @param revision the object's current revision
     * @return the outcome
     */
    public static OutcomeProto conflict(String detail, long revision) {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.CONFLICT)
                .setReason(RefusalReason.REVISION_CONFLICT.text())
                .setDetail(detail)
                .setRevision(revision)
                .build();
    }
}
