package org.lovagegrade.state.machine;

import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;

/** Makes the answers to commands. */
public final class Outcomes {
    private Outcomes() {}

    /**
     * The command was done.
     *
     * @param revision the revision of the configuration after it
     * @return the answer
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
     * @return the answer
     */
    public static OutcomeProto okJob(String job) {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.OK)
                .setJob(job)
                .build();
    }

    /**
     * The command was not done and never will be.
     *
     * @param reason why
     * @param detail expected and actual, for people
     * @return the answer
     */
    public static OutcomeProto refused(RefusalReason reason, String detail) {
        return OutcomeProto.newBuilder()
                .setStatus(OutcomeStatusProto.REFUSED)
                .setReason(reason.text())
                .setDetail(detail)
                .build();
    }

    /**
     * Another change came first.
     *
     * @param detail what the object is now and who changed it
     * @param revision the object's present revision
     * @return the answer
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
