package org.lovagegrade.graph.advice;

import java.util.Comparator;

/**
 * The place of a question among those that wait for the adviser. Questions about work whose result will be useless come
 * last; the others are ordered by priority, then work that can be in time before late work, then by cost of delay.
 *
 * @param isUseless whether the result will come too late to be useful
 * @param priority the queue's priority; a lower number goes first
 * @param isLate whether the objective will be missed
 * @param delayCost the work that is at risk if the question waits, in core-ms per ms of adviser time
 */
public record QuestionRank(boolean isUseless, int priority, boolean isLate, double delayCost)
        implements Comparable<QuestionRank> {
    private static final Comparator<QuestionRank> ORDER = Comparator.comparing(QuestionRank::isUseless)
            .thenComparingInt(QuestionRank::priority)
            .thenComparing(QuestionRank::isLate)
            .thenComparing(Comparator.comparingDouble(QuestionRank::delayCost).reversed());

    @Override
    public int compareTo(QuestionRank other) {
        return ORDER.compare(this, other);
    }
}
