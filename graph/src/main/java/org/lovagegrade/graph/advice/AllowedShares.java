package org.lovagegrade.graph.advice;

import java.util.HashMap;
import java.util.Map;

/** The measured fraction of workers that the adviser allows to run the steps of a queue. */
final class AllowedShares {
    /** Without answers the share is taken to be one half, as if of two workers one had been allowed. */
    private static final double PRIOR_WORKERS = 2;

    private static final double PRIOR_ALLOWED = 1;
    /** Older answers lose half of their weight whenever so many workers were asked about. */
    private static final double MAX_WORKERS = 400;

    private final Map<String, Counts> countsByQueue = new HashMap<>();

    /** How many workers were asked about, and how many of them were allowed. */
    private record Counts(double workers, double allowed) {
        Counts plus(Counts other) {
            double weight = workers > MAX_WORKERS ? 0.5 : 1;
            return new Counts(weight * workers + other.workers, weight * allowed + other.allowed);
        }
    }

    /** Adds an answer about workers that had not been asked about before. */
    void add(String queue, int workers, int allowed) {
        countsByQueue.merge(queue, new Counts(workers, allowed), Counts::plus);
    }

    /** Returns the share of a queue, greater than 0 and less than 1. */
    double of(String queue) {
        Counts counts = countsByQueue.getOrDefault(queue, new Counts(0, 0));
        return (counts.allowed() + PRIOR_ALLOWED) / (counts.workers() + PRIOR_WORKERS);
    }
}
