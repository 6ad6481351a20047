package org.lovagegrade.graph.planning;

import java.util.List;

/**
 * A question that should be put to the adviser.
 *
 * @param step the step's name
 * @param workers the ids of the workers to name
 * @param priority the priority of the queue
 * @param costMs how long the adviser will take, in milliseconds
 */
public record AdviceRequest(String step, List<String> workers, int priority, double costMs) {}
