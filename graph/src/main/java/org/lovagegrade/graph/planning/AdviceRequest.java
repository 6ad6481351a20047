package org.lovagegrade.graph.planning;

import java.util.List;

/**
 * Advice that the planner needs on a step.
 *
 * @param step the step's name
 * @param workers the ids of the workers to ask about
 * @param priority the queue's priority; a lower number goes first
 * @param costMs the expected duration of the adviser's call, in milliseconds
 */
public record AdviceRequest(String step, List<String> workers, int priority, double costMs) {}
