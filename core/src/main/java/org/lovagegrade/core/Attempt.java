package org.lovagegrade.core;

/**
 * One try to run a task on one worker; the pair of worker and number is the fence against stale reports.
 *
 * @param job the job's id
 * @param task the task's index within the job, from 0
 * @param number the number of the try, from 1
 * @param worker the worker that holds it
 */
public record Attempt(String job, int task, int number, String worker) {}
