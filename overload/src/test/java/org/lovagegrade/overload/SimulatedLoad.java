package org.lovagegrade.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Simulates a fleet as one pool of cores that serves generated jobs in a given order, and sums the value lost. */
final class SimulatedLoad {
    private static final long TICK_MS = 10;
    /** Long enough for all jobs to be useless or done. */
    private static final long DRAIN_MS = 120_000;

    /** As in graph's planner, the first gangs that don't fit hold capacity back from lower priorities. */
    private static final int MAX_GANGS_WITH_RESERVATION = 2;

    /** Jobs of one queue: size and time per task, and the objective as the queue states it. */
    record Queue(int priority, int tasks, double cores, long runMs, double slackFactor, long targetMs, boolean gang) {
        double meanCoreMs() {
            return tasks * cores * runMs;
        }
    }

    /** A job; all times are known to the simulation only, apart from the estimate. */
    static final class Job {
        final WorkItem item;
        final Queue queue;
        final int tasks;
        final long runMs;
        final long submittedMs;
        int startedTasks;
        int doneTasks;
        long doneAtMs = Long.MAX_VALUE;
        CostOfDelay cost;

        Job(WorkItem item, Queue queue, int tasks, long runMs, long submittedMs) {
            this.item = item;
            this.queue = queue;
            this.tasks = tasks;
            this.runMs = runMs;
            this.submittedMs = submittedMs;
        }

        /** The value that the caller misses; jobs beyond the share are entitled to none. */
        double lostValue() {
            double full = item.withinShare() ? CostOfDelay.sizeValue(item.work()) : 0;
            return full * (1 - Outcome.of(item.objective(), doneAtMs).valueShare());
        }

        void judge(long nowMs) {
            int waiting = tasks - startedTasks;
            long coreMs = item.work().coreMs() * waiting / tasks;
            RemainingWork left = new RemainingWork(
                    item.work().pathMs(),
                    coreMs,
                    item.work().coreMs() - coreMs,
                    item.work().relativeSize(),
                    waiting,
                    queue.gang);
            cost = CostOfDelay.of(
                    new WorkItem(
                            item.id(), item.workspace(), item.priority(), item.objective(), left, item.withinShare()),
                    nowMs);
        }
    }

    /** Returns how jobs are ordered, from the cores that each workspace uses. */
    @FunctionalInterface
    interface Order {
        Comparator<Job> comparing(Map<String, Double> usedByWorkspace);
    }

    static final Order COST = _used -> Comparator.comparing(job -> job.cost, CostOrder.ascending());
    static final Order ARRIVAL = _used -> Comparator.comparingLong(job -> job.submittedMs);
    static final Order FAIR_SHARE = used -> Comparator.<Job>comparingInt(job -> job.queue.priority)
            .thenComparingDouble(job -> used.getOrDefault(job.item.workspace(), 0.0))
            .thenComparingLong(job -> job.submittedMs);
    static final Order URGENCY = _used -> Comparator.<Job>comparingInt(job -> job.queue.priority)
            .thenComparing(job -> job.cost.outcome())
            .thenComparingLong(job -> job.submittedMs);

    private record Event(long atMs, Job job, double cores) {}

    private final List<Job> arrivals = new ArrayList<>();
    private final double cores;

    SimulatedLoad(double cores) {
        this.cores = cores;
    }

    /** Adds jobs of a queue at a rate, with estimates that are off by up to the given factor in either direction. */
    void add(
            Queue queue,
            double jobsPerS,
            long fromMs,
            long toMs,
            String workspace,
            boolean withinShare,
            Random random) {
        double errorFactor = 1.5;
        for (double atMs = fromMs; atMs < toMs; atMs += -Math.log(1 - random.nextDouble()) * 1_000 / jobsPerS) {
            double size = 0.4 + 1.2 * random.nextDouble();
            int tasks = Math.max(1, (int) Math.round(queue.tasks * size));
            long runMs = Math.round(queue.runMs * (0.7 + 0.6 * random.nextDouble()));
            long estimateMs = Math.round(runMs * Math.pow(errorFactor, 2 * random.nextDouble() - 1));
            Objective objective = Objective.within(Math.round(queue.slackFactor * estimateMs) + queue.targetMs)
                    .from((long) atMs);
            long coreMs = Math.round(tasks * queue.cores * estimateMs);
            RemainingWork work =
                    new RemainingWork(estimateMs, coreMs, 0, coreMs / queue.meanCoreMs(), tasks, queue.gang);
            WorkItem item =
                    new WorkItem("j" + arrivals.size(), workspace, queue.priority, objective, work, withinShare);
            arrivals.add(new Job(item, queue, tasks, runMs, (long) atMs));
        }
    }

    /** Serves all jobs in an order; returns the value lost by priority. */
    Map<Integer, Double> lostValue(Order order) {
        List<Job> jobs = arrivals.stream()
                .map(job -> new Job(job.item, job.queue, job.tasks, job.runMs, job.submittedMs))
                .sorted(Comparator.comparingLong(job -> job.submittedMs))
                .toList();
        List<Job> waiting = new ArrayList<>();
        PriorityQueue<Event> ends = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
        Map<String, Double> used = new HashMap<>();
        double free = cores;
        int next = 0;
        long lastMs = jobs.get(jobs.size() - 1).submittedMs + DRAIN_MS;
        for (long nowMs = 0;
                nowMs < lastMs && !(next == jobs.size() && waiting.isEmpty() && ends.isEmpty());
                nowMs += TICK_MS) {
            boolean changed = false;
            while (!ends.isEmpty() && ends.peek().atMs() <= nowMs) {
                Event end = ends.poll();
                free += end.cores();
                used.merge(end.job().item.workspace(), -end.cores(), Double::sum);
                end.job().doneTasks++;
                if (end.job().doneTasks == end.job().tasks) {
                    end.job().doneAtMs = end.atMs();
                }
                changed = true;
            }
            while (next < jobs.size() && jobs.get(next).submittedMs <= nowMs) {
                waiting.add(jobs.get(next++));
                changed = true;
            }
            if (changed) {
                free = place(order, waiting, ends, used, free, nowMs);
            }
        }
        Map<Integer, Double> lost = new HashMap<>();
        jobs.forEach(job -> lost.merge(job.queue.priority, job.lostValue(), Double::sum));
        return lost;
    }

    private static double place(
            Order order,
            List<Job> waiting,
            PriorityQueue<Event> ends,
            Map<String, Double> used,
            double freeCores,
            long nowMs) {
        double free = freeCores;
        for (Job job : waiting) {
            job.judge(nowMs);
        }
        waiting.sort(order.comparing(Map.copyOf(used)));
        int waitingGangs = 0;
        int lowestOpenPriority = Integer.MAX_VALUE;
        for (Job job : waiting) {
            if (job.queue.priority > lowestOpenPriority) {
                continue;
            }
            int fitting = (int) Math.min(job.tasks - job.startedTasks, free / job.queue.cores);
            boolean startsNow = fitting > 0 && (!job.queue.gang || fitting == job.tasks);
            if (startsNow) {
                double taken = fitting * job.queue.cores;
                free -= taken;
                used.merge(job.item.workspace(), taken, Double::sum);
                job.startedTasks += fitting;
                for (int task = 0; task < fitting; task++) {
                    ends.add(new Event(nowMs + job.runMs, job, job.queue.cores));
                }
            } else if (job.queue.gang && waitingGangs < MAX_GANGS_WITH_RESERVATION) {
                waitingGangs++;
                lowestOpenPriority = Math.min(lowestOpenPriority, job.queue.priority);
            }
        }
        waiting.removeIf(job -> job.startedTasks == job.tasks);
        return free;
    }

    static double total(Map<Integer, Double> lostByPriority) {
        return lostByPriority.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
