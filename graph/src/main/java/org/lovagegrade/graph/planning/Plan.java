package org.lovagegrade.graph.planning;

import java.util.List;

/**
 * What a planner decided.
 *
 * @param placements the starts, a gang's members next to each other
 * @param adviceRequests the questions for the adviser
 */
public record Plan(List<Placement> placements, List<AdviceRequest> adviceRequests) {}
