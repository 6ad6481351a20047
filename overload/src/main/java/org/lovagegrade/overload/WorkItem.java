package org.lovagegrade.overload;

/**
 * A piece of work that waits for capacity, such as a job.
 *
 * <p>Example: {@code WorkItem.of("job-1", "team-a", 0, objective, work).beyondShare()}
 *
 * @param id a name that is the same whenever the item is submitted again
 * @param workspace the workspace that submitted it; empty for none
 * @param priority its priority, 0 first
 * @param objective when its result has value
 * @param work what is left to do
 * @param withinShare whether its workspace was within its share when it submitted the item
 */
public record WorkItem(
        String id, String workspace, int priority, Objective objective, RemainingWork work, boolean withinShare) {
    /**
     * Creates an item of a workspace that is within its share.
     *
     * @param id a name that is the same whenever the item is submitted again
     * @param workspace the workspace that submitted it; empty for none
     * @param priority its priority, 0 first
     * @param objective when its result has value
     * @param work what is left to do
     * @return the item
     */
    public static WorkItem of(String id, String workspace, int priority, Objective objective, RemainingWork work) {
        return new WorkItem(id, workspace, priority, objective, work, true);
    }

    /**
     * Marks the item as submitted by a workspace that has used its share.
     *
     * @return the same item beyond the share
     */
    public WorkItem beyondShare() {
        return new WorkItem(id, workspace, priority, objective, work, false);
    }
}
