package org.lovagegrade.integration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Submitters that send each job until they get a definite answer, with the same request id through any entry. */
final class SubmitStorm {
    private static final int SUBMITTERS = 4;

    private final List<Api> entries;
    private final ExecutorService threads = Executors.newFixedThreadPool(SUBMITTERS);
    private final Map<String, Api.Reply> answers = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();

    SubmitStorm(List<Api> entries) {
        this.entries = entries;
    }

    /** Begins to submit jobs of one short task each. */
    SubmitStorm begin(int jobs, String payload) {
        for (int i = 0; i < jobs; i++) {
            String id = "job-" + i;
            int first = i;
            threads.execute(() -> submitUntilAnswered(id, first, payload));
        }
        return this;
    }

    int answered() {
        return answered.get();
    }

    /** Waits until every job has a definite answer. */
    Map<String, Api.Reply> awaitAnswers() {
        threads.shutdown();
        try {
            threads.awaitTermination(120, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Map.copyOf(answers);
    }

    List<String> accepted() {
        List<String> accepted = new ArrayList<>();
        answers.forEach((id, reply) -> {
            if (reply.isOk()) {
                accepted.add(id);
            }
        });
        return accepted;
    }

    private void submitUntilAnswered(String id, int first, String payload) {
        for (int attempt = 0; !Thread.currentThread().isInterrupted(); attempt++) {
            Api entry = entries.get((first + attempt) % entries.size());
            Api.Reply reply = entry.submit(id, "secret", "nightly", 1, 0.5, payload);
            boolean isDefinite = reply.isOk() || (reply.status() >= 400 && reply.status() < 500);
            if (isDefinite) {
                answers.put(id, reply);
                answered.incrementAndGet();
                return;
            }
            Await.pause(50);
        }
    }
}
