package org.lovagegrade.core;

/**
 * One attempt to run a task on a worker. Reports are fenced by worker and number: stale ones are ignored.
 *
 * @param job the job's id
 * @param task the task's index within the job, from 0
 * @param number the number of the attempt, from 1
 * @param worker the id of the worker that holds it, empty if none
 */
public record Attempt(String job, int task, int number, String worker) {}
