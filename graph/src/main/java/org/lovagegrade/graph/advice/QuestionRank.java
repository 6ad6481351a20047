package org.lovagegrade.graph.advice;

import java.util.Comparator;

/**
 * The place of a question among those that wait for the adviser. Background questions come last; others, and those among
 * themselves, are ordered by priority, then work that can be in time before late work, then by purpose, then by cost of
 * delay.
 *
 * @param purpose what the answer is for
 * @param priority the queue's priority; a lower number goes first
 * @param isLate whether the objective will be missed
 * @param delayCost the work that is at risk if the question waits, in core-ms per ms of adviser time
 */
public record QuestionRank(QuestionPurpose purpose, int priority, boolean isLate, double delayCost)
        implements Comparable<QuestionRank> {
    private static final Comparator<QuestionRank> ORDER = Comparator.comparing(QuestionRank::isBackground)
            .thenComparingInt(QuestionRank::priority)
            .thenComparing(QuestionRank::isLate)
            .thenComparing(QuestionRank::purpose)
            .thenComparing(Comparator.comparingDouble(QuestionRank::delayCost).reversed());

    boolean isBackground() {
        return purpose.isBackground();
    }

    @Override
    public int compareTo(QuestionRank other) {
        return ORDER.compare(this, other);
    }
}
