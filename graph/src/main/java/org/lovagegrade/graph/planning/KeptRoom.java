package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.machine.ResourceVector;

/**
 * Room that is kept free for the most urgent tasks.
 *
 * @param perTask the resources of such a task
 * @param tasks the number of tasks for which room is kept
 * @param priority the priority number of these tasks; tasks of a higher number must leave the room
 * @param slackMs how long these tasks can wait, in milliseconds; runs that end before may use the room
 */
public record KeptRoom(ResourceVector perTask, int tasks, int priority, long slackMs) {
    /** No room is kept. */
    public static final KeptRoom NONE = new KeptRoom(ResourceVector.NONE, 0, Integer.MAX_VALUE, 0);
}
