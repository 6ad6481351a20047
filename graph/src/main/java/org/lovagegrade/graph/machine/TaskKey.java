package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.TaskKeyProto;

/**
 * Identifies a task: one of the identical parts of a step of one occurrence of a job.
 *
 * @param job the id of the job
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task within its step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {
    /**
     * Reads a key from its form in the log.
     *
     * @param proto the message
     * @return the key
     */
    public static TaskKey of(TaskKeyProto proto) {
        return new TaskKey(proto.getJob(), proto.getOccurrence(), proto.getStep(), proto.getIndex());
    }

    /**
     * Converts the key to its form in the log.
     *
     * @return the message
     */
    public TaskKeyProto toProto() {
        return TaskKeyProto.newBuilder()
                .setJob(job)
                .setOccurrence(occurrence)
                .setStep(step)
                .setIndex(index)
                .build();
    }

    /**
     * The name of the step that this task belongs to.
     *
     * @return job, occurrence and step, joined by dots
     */
    public String stepName() {
        return job + "." + occurrence + "." + step;
    }

    @Override
    public String toString() {
        return stepName() + "." + index;
    }
}
