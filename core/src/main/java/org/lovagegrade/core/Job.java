package org.lovagegrade.core;

/**
 * Work that a workspace submitted.
 *
 * @param id the job's id
 * @param workspace the workspace that it is accounted to
 * @param workClass the id of its class
 * @param tasks how many tasks it has, at least 1
 * @param perTask what each task is declared to need
 * @param declaredRunMs how long each task is declared to run, in milliseconds; 0 if not declared
 * @param submittedAtMs when it was submitted, in milliseconds
 */
public record Job(
        String id,
        String workspace,
        String workClass,
        int tasks,
        Resources perTask,
        long declaredRunMs,
        long submittedAtMs) {}
