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
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.JobProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.JobStateProto;
import org.lovagegrade.wire.proto.TaskProto;
import org.lovagegrade.wire.proto.TaskStateProto;

/** Jobs, their tasks and the attempts that hold workers; applies decisions only from the present state. */
public final class JobStore {
    private static final int OVER_JOBS_KEPT = 5_000;

    /** The place of a task. */
    public record TaskKey(String job, int index) {}

    private final Map<String, JobProto.Builder> jobs = new LinkedHashMap<>();
    private final Set<String> over = new LinkedHashSet<>();
    private final Map<String, Map<TaskKey, TaskProto.Builder>> heldByWorker = new TreeMap<>();

    /**
     * Adds a new job.
     *
     * @param spec what was submitted
     */
    public void add(JobSpecProto spec) {
        JobProto.Builder job = JobProto.newBuilder().setSpec(spec);
        for (int i = 0; i < spec.getTasks(); i++) {
            job.addTasksBuilder().setIndex(i);
        }
        jobs.put(spec.getId(), job);
    }

    /**
     * Takes over a job from a snapshot.
     *
     * @param job the job
     */
    public void restore(JobProto job) {
        JobProto.Builder builder = job.toBuilder();
        jobs.put(job.getSpec().getId(), builder);
        for (TaskProto.Builder task : builder.getTasksBuilderList()) {
            if (task.getState() == TaskStateProto.TASK_HELD) {
                index(job.getSpec().getId(), task);
            }
        }
        noteIfOver(builder);
    }

    /**
     * Finds a job.
     *
     * @param id its id
     * @return the job, or empty
     */
    public Optional<JobProto> find(String id) {
        return Optional.ofNullable(jobs.get(id)).map(JobProto.Builder::build);
    }

    /**
     * All jobs, in the order of their submission.
     *
     * @return a view
     */
    public Collection<JobProto.Builder> all() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * The attempts that a worker holds.
     *
     * @param worker the worker's id
     * @return the tasks by their keys
     */
    public Map<TaskKey, TaskProto.Builder> heldBy(String worker) {
        return Collections.unmodifiableMap(heldByWorker.getOrDefault(worker, Map.of()));
    }

    /**
     * What was submitted.
     *
     * @param id a job that exists
     * @return its specification
     */
    public JobSpecProto spec(String id) {
        return jobs.get(id).getSpec();
    }

    /**
     * Whether a job that is not over, or still holds a worker, passes a test.
     *
     * @param test the test of what was submitted
     * @return true if there is one
     */
    public boolean hasLiveJob(Predicate<JobSpecProto> test) {
        return jobs.values().stream()
                .anyMatch(job -> test.test(job.getSpec()) && (!isOver(job.getState()) || holds(job)));
    }

    /**
     * Marks a job as cancelled; its running tasks end as they are stopped.
     *
     * @param id a job that exists
     * @return false if it was over before
     */
    public boolean cancel(String id) {
        JobProto.Builder job = jobs.get(id);
        if (isOver(job.getState())) {
            return false;
        }
        job.setState(JobStateProto.CANCELLED).setReason(Reason.CANCELLED.text());
        noteIfOver(job);
        return true;
    }

    /**
     * Carries out one decision if the state still allows it.
     *
     * @param decision the decision
     * @param atMs the time of the command, in milliseconds since the epoch
     * @return false if it came too late and changed nothing
     */
    public boolean apply(DecisionProto decision, long atMs) {
        JobProto.Builder job = jobs.get(decision.getJob());
        if (job == null) {
            return false;
        }
        return switch (decision.getAction()) {
            case PLACE -> place(job, decision, atMs);
            case STOP -> ifHeld(job, decision, task -> task.setStopping(true));
            case END -> end(job, decision);
            case FAIL -> decision.getTask() < 0 ? failJob(job, decision) : free(job, decision);
            case LEASE_EXPIRED -> free(job, decision);
            case DECIDED_SET_ASIDE -> setAside(job, decision);
            default -> true;
        };
    }

    /** A change of a held task. */
    @FunctionalInterface
    private interface TaskChange {
        void change(TaskProto.Builder task);
    }

    private boolean place(JobProto.Builder job, DecisionProto decision, long atMs) {
        if (isOver(job.getState()) || decision.getTask() >= job.getTasksCount()) {
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
        index(job.getSpec().getId(), task);
        job.setState(JobStateProto.RUNNING).setReason("");
        return true;
    }

    private boolean end(JobProto.Builder job, DecisionProto decision) {
        if (!decision.getReason().equals(Reason.COMPLETED.text())) {
            return free(job, decision);
        }
        boolean applied = ifHeld(job, decision, task -> {
            release(job.getSpec().getId(), task);
            task.setState(TaskStateProto.TASK_ENDED).setLastReason(decision.getReason());
        });
        boolean allEnded = job.getTasksList().stream().allMatch(task -> task.getState() == TaskStateProto.TASK_ENDED);
        if (applied && allEnded && !isOver(job.getState())) {
            job.setState(JobStateProto.ENDED).setReason(Reason.COMPLETED.text());
        }
        noteIfOver(job);
        return applied;
    }

    private boolean free(JobProto.Builder job, DecisionProto decision) {
        boolean applied = ifHeld(job, decision, task -> {
            release(job.getSpec().getId(), task);
            task.setState(TaskStateProto.TASK_WAITING).setLastReason(decision.getReason());
        });
        noteIfOver(job);
        return applied;
    }

    private static boolean setAside(JobProto.Builder job, DecisionProto decision) {
        if (isOver(job.getState())) {
            return false;
        }
        job.setState(JobStateProto.SET_ASIDE).setReason(decision.getReason());
        return true;
    }

    private boolean failJob(JobProto.Builder job, DecisionProto decision) {
        if (isOver(job.getState())) {
            return false;
        }
        job.setState(JobStateProto.FAILED).setReason(decision.getReason());
        noteIfOver(job);
        return true;
    }

    /** The fence: a decision about an attempt applies only while exactly this attempt holds the worker. */
    private static boolean ifHeld(JobProto.Builder job, DecisionProto decision, TaskChange change) {
        if (decision.getTask() < 0 || decision.getTask() >= job.getTasksCount()) {
            return false;
        }
        TaskProto.Builder task = job.getTasksBuilder(decision.getTask());
        boolean held = task.getState() == TaskStateProto.TASK_HELD
                && task.getAttempt() == decision.getAttempt()
                && task.getWorker().equals(decision.getWorker());
        if (held) {
            change.change(task);
        }
        return held;
    }

    private void index(String job, TaskProto.Builder task) {
        heldByWorker
                .computeIfAbsent(task.getWorker(), _worker -> new LinkedHashMap<>())
                .put(new TaskKey(job, task.getIndex()), task);
    }

    private void release(String job, TaskProto.Builder task) {
        Map<TaskKey, TaskProto.Builder> held = heldByWorker.get(task.getWorker());
        held.remove(new TaskKey(job, task.getIndex()));
        if (held.isEmpty()) {
            heldByWorker.remove(task.getWorker());
        }
        task.setStopping(false);
    }

    /** Forgets the oldest jobs that are over, so that state stays bounded. */
    private void noteIfOver(JobProto.Builder job) {
        if (!isOver(job.getState()) || holds(job) || over.contains(job.getSpec().getId())) {
            return;
        }
        over.add(job.getSpec().getId());
        if (over.size() > OVER_JOBS_KEPT) {
            String oldest = over.iterator().next();
            over.remove(oldest);
            jobs.remove(oldest);
        }
    }

    private static boolean holds(JobProto.Builder job) {
        return job.getTasksList().stream().anyMatch(task -> task.getState() == TaskStateProto.TASK_HELD);
    }

    private static boolean isOver(JobStateProto state) {
        return state == JobStateProto.ENDED || state == JobStateProto.FAILED || state == JobStateProto.CANCELLED;
    }
}
