package org.lovagegrade.graph.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;

/**
 * Measures how much capacity the most urgent queues need for the tasks that are about to arrive: their arrival rate times
 * their run time, with a margin for the variation of arrivals. It has no effect while enough capacity is free anyway.
 */
public final class Headroom {
    /** Long enough for a steady rate, and short enough to follow bursts of a few seconds. */
    private static final long WINDOW_MS = 5_000;
    /** A new leader doesn't take its first arrivals for a high rate. */
    private static final double MIN_WINDOW_MS = 1_000;
    /** Arrivals vary by the square root of their number; twice that covers almost all of the time. */
    private static final double MARGIN_DEVIATIONS = 2;
    /** The largest share of all cores that may be kept free. */
    private static final double MAX_SHARE = 0.15;

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private final long sinceMs;
    private double tasks;
    private double taskMs;
    private double slackMs;
    private double milliCores;
    private double memoryMb;
    private double accelerators;

    /** A step that has arrived. */
    private record Arrival(long atMs, int tasks, long runMs, long slackMs, ResourceVector perTask) {}

    /**
     * Creates a measurement without arrivals.
     *
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    public Headroom(long nowMs) {
        this.sinceMs = nowMs;
    }

    /**
     * Records the arrival of a step of the most urgent queues.
     *
     * @param step the step
     * @param runMs the expected run time of a task, in milliseconds
     * @param slackMs how long the step can wait and still be in time, in milliseconds
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    public void stepArrived(StepRecord step, long runMs, long slackMs, long nowMs) {
        if (runMs < CapacityRelease.UNKNOWN) {
            Arrival arrival = new Arrival(nowMs, step.tasks().size(), runMs, slackMs, step.perTask());
            arrivals.add(arrival);
            add(arrival, 1);
        }
    }

    /**
     * Determines the room to keep free.
     *
     * @param priority the priority number of these queues
     * @param running the number of running tasks of the most urgent queues
     * @param fleetMilliCores the capacity of all workers, in thousandths of a core
     * @param nowMs the present time, on the monotonic clock in milliseconds
     * @return the room for further tasks of the size of those that arrived
     */
    public KeptRoom room(int priority, int running, long fleetMilliCores, long nowMs) {
        while (!arrivals.isEmpty() && arrivals.peek().atMs <= nowMs - WINDOW_MS) {
            add(arrivals.poll(), -1);
        }
        if (arrivals.isEmpty()) {
            return KeptRoom.NONE;
        }
        double windowMs = Math.max(MIN_WINDOW_MS, (double) Math.min(WINDOW_MS, nowMs - sinceMs));
        double concurrent = taskMs / windowMs;
        double tasksPerStep = tasks / arrivals.size();
        double needed = concurrent + MARGIN_DEVIATIONS * Math.sqrt(concurrent * tasksPerStep);
        ResourceVector perTask = new ResourceVector(
                Math.round(milliCores / tasks), Math.round(memoryMb / tasks), Math.round(accelerators / tasks));
        double most = fleetMilliCores * MAX_SHARE / Math.max(1, perTask.milliCores());
        int room = (int) Math.max(0, Math.min(most, Math.ceil(needed) - running));
        return new KeptRoom(perTask, room, priority, Math.round(slackMs / arrivals.size()));
    }

    private void add(Arrival arrival, int sign) {
        tasks += sign * (double) arrival.tasks;
        taskMs += sign * (double) arrival.tasks * arrival.runMs;
        slackMs += sign * (double) arrival.slackMs;
        milliCores += sign * (double) arrival.tasks * arrival.perTask.milliCores();
        memoryMb += sign * (double) arrival.tasks * arrival.perTask.memoryMb();
        accelerators += sign * (double) arrival.tasks * arrival.perTask.accelerators();
    }
}
