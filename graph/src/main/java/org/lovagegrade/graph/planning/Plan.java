package org.lovagegrade.graph.planning;

import java.util.List;

/**
 * The decisions of a planner.
 *
 * @param placements the tasks to start; the members of a gang are next to each other
 * @param adviceRequests the advice that is needed to start further tasks
 * @param unplaced the tasks that could meet their objective but found no capacity, the most urgent first
 */
public record Plan(List<Placement> placements, List<AdviceRequest> adviceRequests, List<UnplacedTasks> unplaced) {}
