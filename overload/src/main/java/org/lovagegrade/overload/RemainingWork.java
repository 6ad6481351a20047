package org.lovagegrade.overload;

/**
 * What is left to do of an item, by estimates that are corrected by observed run times.
 *
 * @param pathMs the critical path that is left, in milliseconds
 * @param coreMs the work that waits for capacity, in core-milliseconds
 * @param doneCoreMs the work of tasks that are done or running, in core-milliseconds
 * @param relativeSize the whole work relative to the mean of its queue; 1 if that is unknown
 * @param tasks the number of tasks that wait
 * @param gang whether tasks must start together
 */
public record RemainingWork(long pathMs, long coreMs, long doneCoreMs, double relativeSize, int tasks, boolean gang) {
    /**
     * Describes an untouched item of one task and mean size.
     *
     * @param pathMs the critical path, in milliseconds
     * @param coreMs the work, in core-milliseconds
     * @return the work
     */
    public static RemainingWork of(long pathMs, long coreMs) {
        return new RemainingWork(pathMs, coreMs, 0, 1, 1, false);
    }

    /**
     * Sets the work that is done already.
     *
     * @param coreMsDone the work of tasks that are done or running, in core-milliseconds
     * @return the same work that waits, with the work that was done
     */
    public RemainingWork having(long coreMsDone) {
        return new RemainingWork(pathMs, coreMs, coreMsDone, relativeSize, tasks, gang);
    }

    /**
     * Makes the tasks a gang.
     *
     * @param gangTasks the number of tasks that start together
     * @return the same work, as a gang
     */
    public RemainingWork asGang(int gangTasks) {
        return new RemainingWork(pathMs, coreMs, doneCoreMs, relativeSize, gangTasks, true);
    }
}
