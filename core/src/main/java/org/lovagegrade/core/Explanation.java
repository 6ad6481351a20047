package org.lovagegrade.core;

/**
 * Why a job waits.
 *
 * @param reason the reason
 * @param waitedMs how long it has waited, in milliseconds
 * @param waitTargetMs how long it may wait, in milliseconds; 0 without a target
 * @param workspaceShare the share stated for its workspace
 * @param workspaceUse the part of the cell that its workspace uses, by dominant resource
 * @param waitingTasks how many of its tasks wait
 */
public record Explanation(
        Reason reason,
        long waitedMs,
        long waitTargetMs,
        double workspaceShare,
        double workspaceUse,
        int waitingTasks) {}
