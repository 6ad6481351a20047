package org.lovagegrade.core;

/**
 * Explains why a job waits.
 *
 * @param reason the reason
 * @param waitedMs how long it has waited, in milliseconds
 * @param waitTargetMs how long it may wait, in milliseconds; 0 without a target
 * @param workspaceShare the configured share of its workspace, from 0 to 1
 * @param workspaceUse the dominant share of the cell that its workspace uses
 * @param waitingTasks the number of its waiting tasks
 */
public record Explanation(
        Reason reason,
        long waitedMs,
        long waitTargetMs,
        double workspaceShare,
        double workspaceUse,
        int waitingTasks) {}
