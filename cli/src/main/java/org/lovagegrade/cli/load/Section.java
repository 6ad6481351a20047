package org.lovagegrade.cli.load;

import java.util.List;

/** A table of a report. */
enum Section {
    /** Jobs by their outcome. */
    JOBS("jobs", 1),
    /** Refused submissions by reason. */
    REFUSED("refused", 1),
    /** Work of runs by the outcome of their job; added in core-milliseconds, printed in core-seconds. */
    CAPACITY("coreSeconds", 1_000),
    /** Work of runs without a result by cause; added in core-milliseconds, printed in core-seconds. */
    WASTE("wastedCoreSeconds", 1_000),
    /** Questions to the adviser. */
    ADVISER("adviser", 1);

    private final String title;
    private final long divisor;

    Section(String title, long divisor) {
        this.title = title;
        this.divisor = divisor;
    }

    /** The name in the output, with the unit of the figures as suffix. */
    String title() {
        return title;
    }

    /** Converts a figure to the unit of the output. */
    long inUnit(long figure) {
        return Math.round((double) figure / divisor);
    }

    /** The columns that are always shown, also if all of their figures are zero. */
    List<String> columns() {
        return switch (this) {
            case JOBS -> List.of("submitted", "accepted", "refused", "waiting", "inTime", "late", "useless", "failed");
            case CAPACITY -> List.of("useful", "late", "useless", "open", "saved", "wasted");
            case ADVISER -> List.of("questions", "unanswered", "tookMs");
            case REFUSED, WASTE -> List.of();
        };
    }
}
