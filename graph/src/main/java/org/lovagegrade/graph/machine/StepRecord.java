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
    private int done;
    private int waiting;

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
        this.waiting = tasks.size();
        job.waiting += waiting;
    }

    /** Changes the state of a task, and counts it. */
    void move(TaskRecord task, TaskStateGraphProto state) {
        int moreWait = (state == TaskStateGraphProto.GRAPH_TASK_WAITING ? 1 : 0) - (task.isWaiting() ? 1 : 0);
        waiting += moreWait;
        job.waiting += moreWait;
        done += (state == TaskStateGraphProto.GRAPH_TASK_DONE ? 1 : 0) - (task.isDone() ? 1 : 0);
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
     * The step as it was handed in.
     *
     * @return the message
     */
    public StepProto spec() {
        return spec;
    }

    /**
     * What one task needs.
     *
     * @return the room
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
     * The step's name within the fleet.
     *
     * @return job, occurrence and step, joined by dots
     */
    public String name() {
        return name;
    }

    /**
     * Names a task of this step.
     *
     * @param index the number of the task
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
        return done == tasks.size();
    }

    /**
     * Whether all earlier steps that this one waits for are done.
     *
     * @return true if its tasks may start, once its occurrence is due
     */
    public boolean isReady() {
        for (int earlier : spec.getAfterList()) {
            if (!job.step(occurrence, earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    /**
     * How many tasks wait for a run.
     *
     * @return the number
     */
    public int waitingTasks() {
        return waiting;
    }

    /**
     * The number that the next run of a gang gets.
     *
     * @return one more than the last run of any member
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
            move(task, proto.getTasks(index).getState());
            task.restore(proto.getTasks(index));
        }
    }
}
