package org.lovagegrade.graph.advice;

/** What the answer to a question is for, the most important purpose first. */
public enum QuestionPurpose {
    /** Tasks whose result can still be useful are to start, at once or among the first to get capacity. */
    START,
    /** Tasks are to start at once whose result comes too late to be useful. */
    OVERDUE_START,
    /** Nothing starts soon, but the verdicts and tickets are needed once there is capacity for the step. */
    LEARN_AHEAD;

    /** Whether the question is asked only while nothing else waits, and by a part of the processes. */
    boolean isBackground() {
        return this != START;
    }
}
