package org.lovagegrade.core;

/**
 * A job submitted by a workspace.
 *
 * @param id the job's id
 * @param workspace the id of the workspace that it is accounted to
 * @param workClass the id of its class
 * @param tasks the number of tasks, at least 1
 * @param perTask the declared resources of each task
 * @param declaredRunMs the declared run time of each task in milliseconds; 0 if not declared
 * @param submittedAtMs the submission time in milliseconds
 */
public record Job(
        String id,
        String workspace,
        String workClass,
        int tasks,
        Resources perTask,
        long declaredRunMs,
        long submittedAtMs) {}
