package org.lovagegrade.cli.load;

/** The outcome of a job, with the names of its figures. */
enum JobOutcome {
    /** Not over. */
    OPEN("", "open"),
    /** Completed within its objective. */
    IN_TIME("inTime", "useful"),
    /** Completed after its objective, while the result was still useful. */
    LATE("late", "late"),
    /** Completed too late to be useful. */
    USELESS("useless", "useless"),
    /** Completed; the logs hold no objective. */
    DONE("done", "useful"),
    /** Failed. */
    FAILED("failed", "jobFailed"),
    /** Cancelled by the caller. */
    CANCELLED("cancelled", "jobCancelled");

    private final String jobColumn;
    private final String workColumn;

    JobOutcome(String jobColumn, String workColumn) {
        this.jobColumn = jobColumn;
        this.workColumn = workColumn;
    }

    /**
     * Reads the outcome from the fields of a {@code jobOver} line.
     *
     * @param result the field {@code result}; empty in the lines of builds before it was added
     * @param state the field {@code state}
     * @return the outcome
     */
    static JobOutcome of(String result, String state) {
        for (JobOutcome outcome : values()) {
            if (outcome.name().equals(result)) {
                return outcome;
            }
        }
        return switch (state) {
            case "GRAPH_FAILED" -> FAILED;
            case "GRAPH_CANCELLED" -> CANCELLED;
            default -> DONE;
        };
    }

    /** The column of the jobs with this outcome. */
    String jobColumn() {
        return jobColumn;
    }

    /** The column of the work of these jobs, or the cause of its waste. */
    String workColumn() {
        return workColumn;
    }

    boolean isWaste() {
        return this == FAILED || this == CANCELLED;
    }
}
