package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.lovagegrade.wire.proto.AdviceCostProto;

/**
 * The workers that a question names, chosen for the highest yield per ms of the adviser's time. Another worker costs
 * {@code per_worker_ms}; too few workers cost a second question with its fixed cost.
 *
 * @param options the workers to name
 * @param yield the expected fraction of the wanted tasks that the answer lets start; of a gang, the probability that all
 *     members can
 * @param costMs the expected duration of the adviser's call, in milliseconds
 */
record QuestionScope(List<TicketOption> options, double yield, double costMs) {
    /** An adviser accepts at most this many workers in a request. */
    static final int MAX_WORKERS = 100;
    /** Workers that cost up to this fraction of the fixed cost are added, in case the first ones are used by other steps. */
    private static final double CHEAP_SHARE = 0.1;

    private static final double ALMOST_CERTAIN = 0.99;
    /** A gang's question may cost this fraction of its fixed cost more for verdicts that are needed only later. */
    private static final double LEARNING_SHARE = 0.4;

    /**
     * Selects the first of the given workers, as many as give the highest yield per ms of adviser time.
     *
     * @param options the workers that can be named, the most useful first
     * @param covered the number of tasks that can run on workers with lasting tickets
     * @param tasks the number of tasks to start
     * @param isGang whether only all tasks together are of use
     * @param cost the cost of a question
     * @return the selection, or nothing if no answer would let a task start
     */
    static Optional<QuestionScope> best(
            List<TicketOption> options, int covered, int tasks, boolean isGang, AdviceCostProto cost) {
        int limit = Math.min(options.size(), MAX_WORKERS);
        Yield yield = new Yield(covered, tasks, isGang);
        List<QuestionScope> scopes = new ArrayList<>();
        QuestionScope best = null;
        for (int count = 1; count <= limit; count++) {
            yield.add(options.get(count - 1));
            double costMs = cost.getDecideMs() + count * cost.getPerWorkerMs();
            QuestionScope scope = new QuestionScope(options.subList(0, count), yield.value(), costMs);
            scopes.add(scope);
            if (best == null || scope.yieldPerMs() > best.yieldPerMs()) {
                best = scope;
            }
            boolean isExhausted = 1 / Math.max(1, costMs) < best.yieldPerMs();
            if (isExhausted && count >= cheapWorkers(cost)) {
                break;
            }
        }
        return best == null || best.yield <= 0
                ? Optional.empty()
                : Optional.of(scopes.get(count(best, scopes, cheapWorkers(cost)) - 1));
    }

    /** Adds cheap workers while it isn't almost certain that the best scope suffices. */
    private static int count(QuestionScope best, List<QuestionScope> scopes, int cheapWorkers) {
        int count = best.options.size();
        while (count < Math.min(cheapWorkers, scopes.size()) && scopes.get(count - 1).yield < ALMOST_CERTAIN) {
            count++;
        }
        return count;
    }

    private static int cheapWorkers(AdviceCostProto cost) {
        return (int) Math.min(MAX_WORKERS, CHEAP_SHARE * cost.getDecideMs() / perWorkerMs(cost));
    }

    private static double perWorkerMs(AdviceCostProto cost) {
        return Math.max(cost.getPerWorkerMs(), Double.MIN_NORMAL);
    }

    /**
     * Names further workers, so that the gang has a choice of allowed ones if those of this selection don't suffice.
     *
     * @param others supplies the workers without a verdict that aren't selected, the most useful first
     * @param cost the cost of a question
     * @return this selection, with as many of the others as are cheap beside the fixed cost, unless it almost
     *     certainly suffices
     */
    QuestionScope learning(Supplier<List<TicketOption>> others, AdviceCostProto cost) {
        if (yield >= ALMOST_CERTAIN) {
            return this;
        }
        int cheap = (int) Math.min(MAX_WORKERS, LEARNING_SHARE * cost.getDecideMs() / perWorkerMs(cost));
        if (options.size() >= cheap) {
            return this;
        }
        List<TicketOption> named = new ArrayList<>(options);
        others.get().stream().limit(cheap - options.size()).forEach(named::add);
        return new QuestionScope(named, yield, cost.getDecideMs() + named.size() * cost.getPerWorkerMs());
    }

    private double yieldPerMs() {
        return yield / Math.max(1, costMs);
    }

    /** The distribution of the number of tasks that can start, while workers are added. */
    private static final class Yield {
        private final boolean isGang;
        private final int covered;
        private final int tasks;
        private double[] probabilityOfTasks;

        Yield(int covered, int tasks, boolean isGang) {
            this.isGang = isGang;
            this.tasks = tasks;
            this.covered = Math.min(covered, tasks);
            this.probabilityOfTasks = new double[tasks + 1];
            probabilityOfTasks[this.covered] = 1;
        }

        void add(TicketOption option) {
            double[] next = new double[tasks + 1];
            for (int before = 0; before <= tasks; before++) {
                int after = Math.min(tasks, before + option.tasks());
                next[before] += probabilityOfTasks[before] * (1 - option.probability());
                next[after] += probabilityOfTasks[before] * option.probability();
            }
            probabilityOfTasks = next;
        }

        double value() {
            if (isGang) {
                return probabilityOfTasks[tasks];
            }
            double expected = 0;
            for (int count = 0; count <= tasks; count++) {
                expected += count * probabilityOfTasks[count];
            }
            return (expected - covered) / tasks;
        }
    }
}
