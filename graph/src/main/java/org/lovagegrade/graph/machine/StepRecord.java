package org.lovagegrade.graph.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lovagegrade.wire.proto.GraphStepStateProto;
import org.lovagegrade.wire.proto.StepProto;
import org.lovagegrade.wire.proto.TaskStateGraphProto;

/** One step of one occurrence of a job. */
public final class StepRecord {
    private final JobRecord job;
    private final int occurrence;
    private final int number;
    private final StepProto spec;
    private final ResourceVector perTask;
    private final List<TaskRecord> tasks = new ArrayList<>();
    private final String name;
    final Map<RunKey, RunRecord> runs = new LinkedHashMap<>();
    int gangFailures;
    int gangFailedRun;
    private int doneTasks;
    private int waitingTasks;

    StepRecord(JobRecord job, int occurrence, int number, StepProto spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.perTask = ResourceVector.of(spec.getPerTask());
        this.name = key(0).stepName();
        for (int index = 0; index < spec.getCount(); index++) {
            tasks.add(new TaskRecord());
        }
        this.waitingTasks = tasks.size();
        job.waitingTasks += waitingTasks;
    }

    /** Changes the state of a task, and updates the counts of the step and its job. */
    void setState(TaskRecord task, TaskStateGraphProto state) {
        int waitingDelta = (state == TaskStateGraphProto.GRAPH_TASK_WAITING ? 1 : 0) - (task.isWaiting() ? 1 : 0);
        waitingTasks += waitingDelta;
        job.waitingTasks += waitingDelta;
        doneTasks += (state == TaskStateGraphProto.GRAPH_TASK_DONE ? 1 : 0) - (task.isDone() ? 1 : 0);
        task.state = state;
    }

    /**
     * The runs of its tasks whose end is not committed.
     *
     * @return the runs, in the order of their starts
     */
    public Collection<RunRecord> runs() {
        return Collections.unmodifiableCollection(runs.values());
    }

    /**
     * The job.
     *
     * @return the job that this step belongs to
     */
    public JobRecord job() {
        return job;
    }

    /**
     * The number of the occurrence.
     *
     * @return the number, from 0
     */
    public int occurrence() {
        return occurrence;
    }

    /**
     * The number of the step within its job.
     *
     * @return the number, from 0
     */
    public int number() {
        return number;
    }

    /**
     * The step as it was submitted.
     *
     * @return the message
     */
    public StepProto spec() {
        return spec;
    }

    /**
     * The resources that one task needs.
     *
     * @return the amounts
     */
    public ResourceVector perTask() {
        return perTask;
    }

    /**
     * The tasks in the order of their numbers.
     *
     * @return the tasks
     */
    public List<TaskRecord> tasks() {
        return tasks;
    }

    /**
     * The step's name, which is unique among all jobs.
     *
     * @return job, occurrence and step, joined by dots
     */
    public String name() {
        return name;
    }

    /**
     * The key of a task of this step.
     *
     * @param index the number of the task, from 0
     * @return its key
     */
    public TaskKey key(int index) {
        return new TaskKey(job.id(), occurrence, number, index);
    }

    /**
     * Whether all tasks have completed.
     *
     * @return true if so
     */
    public boolean isDone() {
        return doneTasks == tasks.size();
    }

    /**
     * Whether all steps that this one depends on are done.
     *
     * @return true if its tasks may start as soon as its occurrence is due
     */
    public boolean isReady() {
        for (int predecessor : spec.getAfterList()) {
            if (!job.step(occurrence, predecessor).isDone()) {
                return false;
            }
        }
        return true;
    }

    /**
     * The number of tasks that wait for a run.
     *
     * @return the number
     */
    public int waitingTasks() {
        return waitingTasks;
    }

    /**
     * The number of the gang's next run, which all members share.
     *
     * @return one more than the number of the last run of any member
     */
    public int nextGangRun() {
        int last = 0;
        for (TaskRecord task : tasks) {
            last = Math.max(last, task.run);
        }
        return last + 1;
    }

    GraphStepStateProto toProto() {
        GraphStepStateProto.Builder proto =
                GraphStepStateProto.newBuilder().setGangFailures(gangFailures).setGangFailedRun(gangFailedRun);
        tasks.forEach(task -> proto.addTasks(task.toProto()));
        return proto.build();
    }

    void restore(GraphStepStateProto proto) {
        gangFailures = proto.getGangFailures();
        gangFailedRun = proto.getGangFailedRun();
        for (int index = 0; index < tasks.size(); index++) {
            TaskRecord task = tasks.get(index);
            setState(task, proto.getTasks(index).getState());
            task.restore(proto.getTasks(index));
        }
    }
}
