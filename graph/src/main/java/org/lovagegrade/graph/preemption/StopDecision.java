package org.lovagegrade.graph.preemption;

import java.util.List;
import org.lovagegrade.graph.machine.RunKey;

/**
 * Runs to stop for the tasks of a step.
 *
 * @param step the name of the step that gets the capacity
 * @param runs the runs to stop
 * @param lostCoreMs the work that is lost with them, in milliseconds of one core
 */
public record StopDecision(String step, List<RunKey> runs, long lostCoreMs) {}
