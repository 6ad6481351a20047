package org.lovagegrade.graph.advice;

/** What the answer to a question is for, the most important purpose first. */
public enum QuestionPurpose {
    /** Tasks that can be useful in time are about to start. */
    START,
    /** Tasks are about to start whose result comes too late to be useful. */
    OVERDUE_START,
    /** The verdicts are needed once there is capacity for the step. */
    LEARN_AHEAD;

    /** Whether the question is asked only while nothing else waits, and by a part of the processes. */
    boolean isBackground() {
        return this != START;
    }
}
