package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What workers say that ran, and when, read from their own logs: the proof of what ran where. */
final class WorkerHistory {
    private final List<Run> runs = new ArrayList<>();
    private final List<String> overloads = new ArrayList<>();

    /** One run of an attempt on a worker; a run that is not over ends at the greatest time. */
    record Run(String task, int attempt, String worker, long fromMs, long toMs, String reason) {}

    private WorkerHistory() {}

    static WorkerHistory of(List<Program> workers) {
        WorkerHistory history = new WorkerHistory();
        workers.forEach(worker -> history.read(worker.logLines()));
        history.runs.sort(Comparator.comparingLong(Run::fromMs));
        return history;
    }

    long endedTimes(String task) {
        return runs.stream()
                .filter(run -> run.task().equals(task) && run.reason().equals("ended"))
                .count();
    }

    List<Run> runs() {
        return List.copyOf(runs);
    }

    /** No task ran in two places at once, and no worker more than it has. */
    void assertPromisesHeld() {
        Map<String, Run> last = new HashMap<>();
        for (Run run : runs) {
            Run former = last.get(run.task());
            if (former != null) {
                assertWithMessage("task %s: run %s begins before run %s is over", run.task(), run, former)
                        .that(run.fromMs())
                        .isAtLeast(former.toMs());
            }
            last.put(run.task(), run);
        }
        assertWithMessage("workers that ran more than they have")
                .that(overloads)
                .isEmpty();
    }

    private void read(List<String> lines) {
        Map<String, JsonNode> started = new HashMap<>();
        for (String text : lines) {
            JsonNode line = Fleet.parse(text);
            String key = line.path("worker").asText() + "/" + task(line) + "/"
                    + line.path("attempt").asInt();
            if (line.path("event").asText().equals("taskStarted")) {
                started.put(key, line);
                if (line.path("usedMilliCores").asLong()
                        > line.path("capacityMilliCores").asLong()) {
                    overloads.add(text);
                }
            } else if (line.path("event").asText().equals("taskOver")) {
                runs.add(run(
                        started.remove(key),
                        line.path("atMs").asLong(),
                        line.path("reason").asText()));
            }
        }
        started.values().forEach(line -> runs.add(run(line, Long.MAX_VALUE, "")));
    }

    private static Run run(JsonNode started, long toMs, String reason) {
        return new Run(
                task(started),
                started.path("attempt").asInt(),
                started.path("worker").asText(),
                started.path("atMs").asLong(),
                toMs,
                reason);
    }

    private static String task(JsonNode line) {
        return line.path("job").asText() + "/" + line.path("task").asInt();
    }
}
