import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Watches the runs on all runners for the rule TWICE, by what the runners see. */
final class Judge {
    private static final List<String> BROKEN = new ArrayList<>();
    private static final Map<String, Set<String>> RUNNING = new HashMap<>();
    /** The runs of each task that ended done, and those of which the end was noted. */
    private static final Map<String, List<String>> DONE = new HashMap<>();
    private static final Map<String, Set<String>> NOTED = new HashMap<>();
    private static final List<Long> BEGAN_AT_MS = new ArrayList<>();
    private static final List<LaterStart> LATER_STARTS = new ArrayList<>();

    /** A start of a task after runs of it had ended done, whether that was noted or not. */
    private record LaterStart(String task, String start, List<String> doneBefore) {}

    private Judge() {}

    static synchronized void begun(Trace trace, Runner runner, int life, String task, int run) {
        String where = runner.id + " life " + life;
        trace.add(where + " begins " + task + "#" + run);
        BEGAN_AT_MS.add(trace.nowMs());
        Set<String> places = RUNNING.computeIfAbsent(task, _task -> new HashSet<>());
        if (!places.isEmpty()) {
            BROKEN.add(task + "#" + run + " begins on " + where + " while the task runs as " + places);
        }
        places.add(run + " on " + where);
        if (DONE.containsKey(task)) {
            LATER_STARTS.add(new LaterStart(task, "#" + run + " on " + where, List.copyOf(DONE.get(task))));
        }
    }

    static synchronized void ended(Trace trace, Runner runner, int life, String task, int run, String how, long number) {
        String where = runner.id + " life " + life;
        trace.add(where + " lists end " + number + ": " + task + "#" + run + " " + how);
        RUNNING.getOrDefault(task, new HashSet<>()).remove(run + " on " + where);
        if (how.equals("done")) {
            DONE.computeIfAbsent(task, _task -> new ArrayList<>()).add(run + " on " + where);
        }
    }

    /** A life is over, and its runs with it. */
    static synchronized void lifeOver(Runner runner, int life) {
        RUNNING.values().forEach(places -> places.removeIf(place -> place.endsWith(" on " + runner.id + " life " + life)));
    }

    static synchronized void noted(Trace trace, Runner runner, int life, ArrayNode end, long cursor, long fence) {
        String where = runner.id + " life " + life;
        trace.add(where + " forgets end " + end + ", since ack_cursor is " + cursor + " (fence " + fence + ")");
        if (end.get(3).asText().equals("done")) {
            NOTED.computeIfAbsent(end.get(1).asText(), _task -> new HashSet<>()).add(end.get(2).asInt() + " on " + where);
        }
    }

    /** How many starts were carried out from a moment on. */
    static synchronized long begunSince(long fromMs) {
        return BEGAN_AT_MS.stream().filter(atMs -> atMs >= fromMs).count();
    }

    /** Whether a task of the job runs on a runner that is up. */
    static synchronized boolean isRunning(String job) {
        return RUNNING.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(job + ".") && !entry.getValue().isEmpty());
    }

    /** What broke TWICE: two runs at the same time, or a start after an end {@code done} that was noted. */
    static synchronized List<String> broken() {
        List<String> all = new ArrayList<>(BROKEN);
        for (LaterStart later : LATER_STARTS) {
            Set<String> noted = NOTED.getOrDefault(later.task(), Set.of());
            later.doneBefore().stream()
                    .filter(noted::contains)
                    .forEach(run -> all.add(later.task() + later.start() + " begins, though run " + run
                            + " had ended done, which was noted"));
        }
        return all;
    }
}
