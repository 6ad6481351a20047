package org.lovagegrade.graph.planning;

import java.util.List;

/**
 * The decisions of a planner.
 *
 * @param placements the tasks to start; the members of a gang are next to each other
 * @param adviceRequests the advice that is needed to start further tasks
 */
public record Plan(List<Placement> placements, List<AdviceRequest> adviceRequests) {}
