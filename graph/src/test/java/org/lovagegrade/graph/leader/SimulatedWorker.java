package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.graph.worker.EndedRunView;
import org.lovagegrade.graph.worker.OrderOutcome;
import org.lovagegrade.graph.worker.OrderRefusal;
import org.lovagegrade.graph.worker.RenewOrder;
import org.lovagegrade.graph.worker.RenewOutcome;
import org.lovagegrade.graph.worker.RunView;
import org.lovagegrade.graph.worker.StartOrder;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * Simulates one incarnation of a worker as the platform specifies it, with fencing tokens, leases on its own clock, and
 * ends that it lists until they are acknowledged.
 */
final class SimulatedWorker {
    private static final double MIN_CLOCK_RATE = 0.98;
    /** How far a slow clock may fall behind its leader's estimate between two answers. */
    private static final long CLOCK_DRIFT_MS = 100;

    private final SimulatedTime time;
    private final SimulatedCell cell;
    private WorkerProto info;
    private final long startedAtMs;
    private final double clockRate;
    private final Set<RunKey> running = new LinkedHashSet<>();
    private final Map<TaskKey, Integer> highestEnded = new HashMap<>();
    private final List<EndedRunView> ends = new ArrayList<>();
    private ResourceVector used = ResourceVector.NONE;
    private long highestFencingToken;
    private long leaseUntilMs;
    private long endCount;
    /** The number of the last end before the lease last expired; acknowledging ends up to it later does not count. */
    private long lastEndBeforeExpiry;

    private boolean isUp = true;
    private long leavesAtMs;
    /** Before this time a start may exceed a changed capacity, since the leader need not know it yet; 0 if unchanged. */
    private long capacityBindsFromMs;

    SimulatedWorker(SimulatedTime time, SimulatedCell cell, WorkerProto info, boolean slowClock) {
        this.time = time;
        this.cell = cell;
        this.info = info;
        this.startedAtMs = time.nowMs();
        this.clockRate = slowClock ? MIN_CLOCK_RATE : 1.0;
    }

    WorkerProto info() {
        return leavesAtMs == 0
                ? info
                : info.toBuilder()
                        .setDraining(true)
                        .setRemainingMs(Math.max(1, leavesAtMs - time.nowMs()))
                        .build();
    }

    /** Gives the next report a higher number. */
    void countReport() {
        info = info.toBuilder().setSequence(info.getSequence() + 1).build();
    }

    /** Announces the end of this incarnation, which the next heartbeat shows. */
    void drain(long remainingMs) {
        info = info.toBuilder().setSequence(info.getSequence() + 1).build();
        leavesAtMs = time.nowMs() + remainingMs;
    }

    boolean isUp() {
        return isUp;
    }

    boolean isRunning(TaskKey task) {
        return running.stream().anyMatch(run -> run.task().equals(task));
    }

    boolean runsOtherJobsThan(String job) {
        return running.stream().anyMatch(run -> !run.task().job().equals(job));
    }

    /** Changes the capacity, which the worker's next heartbeat shows; what runs goes on. */
    void resize(ResourceVector capacity, long graceMs) {
        info = info.toBuilder()
                .setSequence(info.getSequence() + 1)
                .setCapacity(ResourcesProto.newBuilder()
                        .setMilliCores(capacity.milliCores())
                        .setMemoryMb(capacity.memoryMb()))
                .build();
        capacityBindsFromMs = time.nowMs() + graceMs;
    }

    /** Changes the failure domain, which the worker's next heartbeat shows. */
    void moveTo(String failureDomain) {
        info = info.toBuilder()
                .setSequence(info.getSequence() + 1)
                .setFailureDomain(failureDomain)
                .build();
    }

    /** Ends all runs at once; none of their ends is ever listed. */
    void crash() {
        isUp = false;
        running.clear();
    }

    private long clockMs() {
        return 1 + (long) ((time.nowMs() - startedAtMs) * clockRate);
    }

    /**
     * Begins a run.
     *
     * @param order the order
     * @param isLate whether the order was delayed on its way, so that its sender can't be held to the present capacity
     */
    OrderOutcome start(StartOrder order, boolean isLate) {
        if (order.fencingToken() < highestFencingToken) {
            return new OrderOutcome.Refused(OrderRefusal.FENCED);
        }
        highestFencingToken = order.fencingToken();
        TaskKey task = order.run().task();
        int run = order.run().run();
        if (running.contains(order.run())) {
            return new OrderOutcome.Done(clockMs());
        }
        if (run <= highestEnded.getOrDefault(task, 0)) {
            return new OrderOutcome.Refused(OrderRefusal.OUTDATED);
        }
        boolean isTooLate = cell.acceptsExpiredStarts() ? leaseUntilMs <= clockMs() : order.untilMs() <= clockMs();
        if (isTooLate && order.untilMs() <= clockMs()) {
            return new OrderOutcome.Refused(OrderRefusal.TOO_LATE);
        }
        checkLease(order.untilMs(), isLate);
        grant(order.untilMs());
        cell.checkStart(this, order.run());
        running.add(order.run());
        used = used.plus(cell.resourcesOf(task));
        boolean isWithinCapacity = used.fitsInto(ResourceVector.of(info.getCapacity()));
        boolean mayExceedCapacity = capacityBindsFromMs > 0 && (isLate || time.nowMs() < capacityBindsFromMs);
        cell.check(
                "capacity",
                isWithinCapacity || mayExceedCapacity,
                () -> info.getId() + " uses " + used + " after " + order.run());
        cell.scheduleEnd(this, order.run());
        return new OrderOutcome.Done(clockMs());
    }

    OrderOutcome stop(RunKey run, long fencingToken) {
        if (fencingToken < highestFencingToken) {
            return new OrderOutcome.Refused(OrderRefusal.FENCED);
        }
        highestFencingToken = fencingToken;
        if (running.contains(run)) {
            time.after(cell.drawStopMs(), () -> end(run, RunEndProto.RUN_STOPPED));
        } else {
            highestEnded.merge(run.task(), run.run(), Math::max);
        }
        return new OrderOutcome.Done(clockMs());
    }

    RenewOutcome renew(RenewOrder order, boolean isLate) {
        if (order.fencingToken() < highestFencingToken) {
            return new RenewOutcome.Refused(OrderRefusal.FENCED);
        }
        highestFencingToken = order.fencingToken();
        checkLease(order.untilMs(), isLate);
        if (order.untilMs() > clockMs()) {
            grant(order.untilMs());
        }
        acknowledgeEnds(order.cursor());
        List<RunView> views = new ArrayList<>();
        running.forEach(run -> views.add(new RunView(run, "", 1, 0)));
        int max = cell.maxListedEnds();
        List<EndedRunView> listed = ends.stream().limit(max).toList();
        return new RenewOutcome.Listed(clockMs(), info.getBornMs(), views, listed, ends.size() < max);
    }

    private void acknowledgeEnds(long cursor) {
        for (EndedRunView end : List.copyOf(ends)) {
            if (end.number() <= cursor) {
                ends.remove(end);
                cell.acknowledged(end, end.number() > lastEndBeforeExpiry);
            }
        }
    }

    /** A longer lease was reckoned on the clock of a former incarnation, and holds for as long as that one was up. */
    private void checkLease(long untilMs, boolean isLate) {
        cell.check(
                "length of the lease",
                isLate || untilMs <= clockMs() + SimulatedCell.LEASE_MS + CLOCK_DRIFT_MS,
                () -> info.getId() + " of " + info.getBornMs() + " holds until " + untilMs + " at " + clockMs());
    }

    private void grant(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(untilMs, clockMs() + SimulatedCell.MAX_LEASE_MS));
        time.after((long) ((leaseUntilMs - clockMs()) / clockRate) + 1, this::expireLease);
    }

    private void expireLease() {
        if (isUp && clockMs() >= leaseUntilMs) {
            lastEndBeforeExpiry = endCount;
            List.copyOf(running).forEach(run -> end(run, RunEndProto.RUN_LAPSED));
        }
    }

    /** Ends a run if it is running, and returns its end as it is listed from now on. */
    Optional<EndedRunView> end(RunKey run, RunEndProto how) {
        if (!isUp || !running.remove(run)) {
            return Optional.empty();
        }
        used = used.minus(cell.resourcesOf(run.task()));
        highestEnded.merge(run.task(), run.run(), Math::max);
        endCount++;
        String checkpoint = how == RunEndProto.RUN_STOPPED && cell.savesCheckpoints(run.task()) ? "saved" : "";
        EndedRunView end = new EndedRunView(endCount, run, how, checkpoint);
        ends.add(end);
        return Optional.of(end);
    }
}
