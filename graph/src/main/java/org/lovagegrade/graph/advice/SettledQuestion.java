package org.lovagegrade.graph.advice;

/**
 * A question that was sent to the adviser and is answered or given up.
 *
 * @param step the name of the step
 * @param workers the number of workers that the question named
 * @param allowed the number of workers for which the answer holds a ticket
 * @param answered whether the adviser answered
 * @param tookMs the time from sending the question to a process until that process had the answer, in milliseconds
 */
public record SettledQuestion(String step, int workers, int allowed, boolean answered, long tookMs) {}
