package org.lovagegrade.graph.preemption;

import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;

/**
 * A run that may be stopped.
 *
 * @param key the run
 * @param unit names the runs that can only be stopped together: the members of a gang, or this run alone
 * @param worker the id of its worker
 * @param priority the priority number of its queue
 * @param amount the resources that it holds
 * @param lostCoreMs the work that is lost if it is stopped, in milliseconds of one core
 */
public record StoppableRun(
        RunKey key, String unit, String worker, int priority, ResourceVector amount, long lostCoreMs) {}
