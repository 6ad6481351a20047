package org.lovagegrade.state.machine.internal;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.WorkerRestarts;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.JobProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.JobStateProto;
import org.lovagegrade.wire.proto.TaskProto;
import org.lovagegrade.wire.proto.TaskStateProto;

/** Jobs, their tasks and the tasks' current attempts. A decision is applied only if the current state allows it. */
public final class JobStore {
    private static final int MAX_FINISHED_JOBS = 5_000;

    /** Identifies a task by its job's id and its index in the job. */
    public record TaskKey(String job, int index) {}

    private final Map<String, JobProto.Builder> jobs = new LinkedHashMap<>();
    private final Set<String> finishedJobs = new LinkedHashSet<>();
    private final Map<String, Map<TaskKey, TaskProto.Builder>> assignedByWorker = new TreeMap<>();

    /**
     * Adds a new job.
     *
     * @param spec the job's specification
     */
    public void add(JobSpecProto spec) {
        JobProto.Builder job = JobProto.newBuilder().setSpec(spec);
        for (int i = 0; i < spec.getTasks(); i++) {
            job.addTasksBuilder().setIndex(i);
        }
        jobs.put(spec.getId(), job);
    }

    /**
     * Restores a job from a snapshot.
     *
     * @param job the job
     */
    public void restore(JobProto job) {
        JobProto.Builder builder = job.toBuilder();
        jobs.put(job.getSpec().getId(), builder);
        for (TaskProto.Builder task : builder.getTasksBuilderList()) {
            if (task.getState() == TaskStateProto.TASK_HELD) {
                indexAssignment(job.getSpec().getId(), task);
            }
        }
        trackIfFinished(builder);
    }

    /**
     * Finds a job.
     *
     * @param id its id
     * @return the job, or empty if there is none
     */
    public Optional<JobProto> find(String id) {
        return Optional.ofNullable(jobs.get(id)).map(JobProto.Builder::build);
    }

    /**
     * Returns all jobs in the order of their submission.
     *
     * @return an unmodifiable view
     */
    public Collection<JobProto.Builder> all() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * Returns the tasks whose current attempt is assigned to a worker.
     *
     * @param worker the worker's id
     * @return an unmodifiable view of the tasks by key
     */
    public Map<TaskKey, TaskProto.Builder> assignedTo(String worker) {
        return Collections.unmodifiableMap(assignedByWorker.getOrDefault(worker, Map.of()));
    }

    /**
     * Returns the specification of a job.
     *
     * @param id the id of an existing job
     * @return its specification, as submitted
     */
    public JobSpecProto spec(String id) {
        return jobs.get(id).getSpec();
    }

    /**
     * Returns whether any job that is unfinished, or still has a task assigned to a worker, matches a predicate.
     *
     * @param predicate the predicate on the job's specification
     * @return true if there is such a job
     */
    public boolean hasActiveJob(Predicate<JobSpecProto> predicate) {
        return jobs.values().stream()
                .anyMatch(
                        job -> predicate.test(job.getSpec()) && (!isFinished(job.getState()) || hasAssignedTask(job)));
    }

    /**
     * Marks a job as cancelled. Its running tasks stay assigned to their workers until they have stopped.
     *
     * @param id the id of an existing job
     * @return false if the job had already finished
     */
    public boolean cancel(String id) {
        JobProto.Builder job = jobs.get(id);
        if (isFinished(job.getState())) {
            return false;
        }
        job.setState(JobStateProto.CANCELLED).setReason(Reason.CANCELLED.text());
        trackIfFinished(job);
        return true;
    }

    /**
     * Applies a decision if the current state allows it.
     *
     * @param decision the decision
     * @param atMs the time of the command, in milliseconds since the epoch
     * @return false if the decision is stale and changed nothing
     */
    public boolean apply(DecisionProto decision, long atMs) {
        JobProto.Builder job = jobs.get(decision.getJob());
        if (job == null) {
            return false;
        }
        return switch (decision.getAction()) {
            case PLACE -> place(job, decision, atMs);
            case STOP -> ifAssigned(job, decision, task -> task.setStopping(true));
            case END -> end(job, decision, atMs);
            case FAIL -> decision.getTask() < 0 ? failJob(job, decision) : requeue(job, decision, atMs);
            case LEASE_EXPIRED -> requeue(job, decision, atMs);
            case DECIDED_SET_ASIDE -> markUnschedulable(job, decision);
            default -> true;
        };
    }

    /** An update of an assigned task. */
    @FunctionalInterface
    private interface TaskUpdate {
        void applyTo(TaskProto.Builder task);
    }

    private boolean place(JobProto.Builder job, DecisionProto decision, long atMs) {
        if (isFinished(job.getState()) || decision.getTask() >= job.getTasksCount()) {
            return false;
        }
        TaskProto.Builder task = job.getTasksBuilder(decision.getTask());
        boolean isNext = task.getState() != TaskStateProto.TASK_HELD && decision.getAttempt() > task.getAttempt();
        if (!isNext) {
            return false;
        }
        task.setState(TaskStateProto.TASK_HELD)
                .setAttempt(decision.getAttempt())
                .setWorker(decision.getWorker())
                .setWorkerBoot(decision.getWorkerBoot())
                .setLeaseMs(decision.getLeaseMs())
                .setPlacedAtMs(atMs)
                .setStopping(false);
        indexAssignment(job.getSpec().getId(), task);
        job.setState(JobStateProto.RUNNING).setReason("");
        return true;
    }

    private boolean end(JobProto.Builder job, DecisionProto decision, long atMs) {
        if (!decision.getReason().equals(Reason.COMPLETED.text())) {
            return requeue(job, decision, atMs);
        }
        boolean applied = ifAssigned(job, decision, task -> {
            release(job.getSpec().getId(), task);
            task.setState(TaskStateProto.TASK_ENDED).setLastReason(decision.getReason());
        });
        boolean allEnded = job.getTasksList().stream().allMatch(task -> task.getState() == TaskStateProto.TASK_ENDED);
        if (applied && allEnded && !isFinished(job.getState())) {
            job.setState(JobStateProto.ENDED).setReason(Reason.COMPLETED.text());
        }
        trackIfFinished(job);
        return applied;
    }

    private boolean requeue(JobProto.Builder job, DecisionProto decision, long atMs) {
        boolean applied = ifAssigned(job, decision, task -> {
            release(job.getSpec().getId(), task);
            task.setState(TaskStateProto.TASK_WAITING).setLastReason(decision.getReason());
            if (decision.getReason().equals(Reason.WORKER_RESTARTED.text())) {
                countRestart(task, atMs);
            }
        });
        trackIfFinished(job);
        return applied;
    }

    private static void countRestart(TaskProto.Builder task, long lostAtMs) {
        WorkerRestarts before = new WorkerRestarts(task.getWorkerRestarts());
        task.setWorkerRestarts(before.plus(lostAtMs - task.getPlacedAtMs()).count());
    }

    private static boolean markUnschedulable(JobProto.Builder job, DecisionProto decision) {
        if (isFinished(job.getState())) {
            return false;
        }
        job.setState(JobStateProto.SET_ASIDE).setReason(decision.getReason());
        return true;
    }

    private boolean failJob(JobProto.Builder job, DecisionProto decision) {
        if (isFinished(job.getState())) {
            return false;
        }
        job.setState(JobStateProto.FAILED).setReason(decision.getReason());
        trackIfFinished(job);
        return true;
    }

    /**
     * Fencing: a decision about an attempt is applied only while exactly that attempt is assigned to the decision's
     * worker.
     */
    private static boolean ifAssigned(JobProto.Builder job, DecisionProto decision, TaskUpdate update) {
        if (decision.getTask() < 0 || decision.getTask() >= job.getTasksCount()) {
            return false;
        }
        TaskProto.Builder task = job.getTasksBuilder(decision.getTask());
        boolean isAssigned = task.getState() == TaskStateProto.TASK_HELD
                && task.getAttempt() == decision.getAttempt()
                && task.getWorker().equals(decision.getWorker());
        if (isAssigned) {
            update.applyTo(task);
        }
        return isAssigned;
    }

    private void indexAssignment(String job, TaskProto.Builder task) {
        assignedByWorker
                .computeIfAbsent(task.getWorker(), _worker -> new LinkedHashMap<>())
                .put(new TaskKey(job, task.getIndex()), task);
    }

    private void release(String job, TaskProto.Builder task) {
        Map<TaskKey, TaskProto.Builder> assigned = assignedByWorker.get(task.getWorker());
        assigned.remove(new TaskKey(job, task.getIndex()));
        if (assigned.isEmpty()) {
            assignedByWorker.remove(task.getWorker());
        }
        task.setStopping(false);
    }

    /** Records a job that has just finished and removes the oldest finished jobs, so that the state stays bounded. */
    private void trackIfFinished(JobProto.Builder job) {
        if (!isFinished(job.getState())
                || hasAssignedTask(job)
                || finishedJobs.contains(job.getSpec().getId())) {
            return;
        }
        finishedJobs.add(job.getSpec().getId());
        if (finishedJobs.size() > MAX_FINISHED_JOBS) {
            String oldest = finishedJobs.iterator().next();
            finishedJobs.remove(oldest);
            jobs.remove(oldest);
        }
    }

    private static boolean hasAssignedTask(JobProto.Builder job) {
        return job.getTasksList().stream().anyMatch(task -> task.getState() == TaskStateProto.TASK_HELD);
    }

    private static boolean isFinished(JobStateProto state) {
        return state == JobStateProto.ENDED || state == JobStateProto.FAILED || state == JobStateProto.CANCELLED;
    }
}
