import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A runner crashes in silence and starts again under its id while the call that waits for its ends is still open. The rule
 * TWICE then holds for the jobs that are handed in just after.
 */
public final class RebornRunner {
    private static final int RUNNERS = 8;
    private static final int ROUNDS = 5;
    private static final int CRASHED_MS = 1_200;
    private static final int JOBS_A_ROUND = 12;
    private static final int MS_BETWEEN_JOBS = 25;
    /** The longer ones are of the mean length of a pitch booking; the shorter ones lie within its spread. */
    private static final int[] WORK_MS = {1_000, 250};

    private RebornRunner() {}

    public static void main(String[] args) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status = Site.COULD_NOT_RUN;
        try (Record record = new Record(Path.of(args[0])); Site site = new Site(record)) {
            status = play(site, record, hasTrouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static int play(Site site, Record record, boolean hasTrouble) throws Exception {
        if (!site.configure(1, Site.route("r-1", "/pitch/")) || !site.awaitReady()) {
            record.line("test: the site isn't ready");
            return Site.COULD_NOT_RUN;
        }
        List<Runner> runners = new ArrayList<>();
        for (int n = 0; n < RUNNERS; n++) {
            // The first one is the smallest and so the best fit for a task.
            runners.add(new Runner("i-" + n, Site.SERVICE, "zone-" + n % 3, List.of("a", "r" + n % 3 + "-1"),
                    n == 0 ? 16_000 : 32_000, Site.STOP_MS, site.runnerHost(), site.controls(), record));
        }
        runners.forEach(Runner::start);
        Runner.sleep(4_000);
        int job = 0;
        for (int round = 0; round < ROUNDS; round++) {
            site.client(job, "POST", "/pitch/" + Site.id(job++), job(WORK_MS[0]));
            Runner.sleep(WORK_MS[0] + 600);
            if (hasTrouble) {
                runners.get(0).crashInSilence();
                Runner.sleep(CRASHED_MS);
                runners.get(0).start();
            }
            for (int n = 0; n < JOBS_A_ROUND; n++) {
                int next = job++;
                Runner.daemon(() -> site.client(next, "POST", "/pitch/" + Site.id(next), job(WORK_MS[next % 2])));
                Runner.sleep(MS_BETWEEN_JOBS);
            }
            Runner.sleep(7_000);
        }
        int broken = count(runners, record);
        record.line("test: TWICE %s", broken > 0 ? "is broken for " + broken + " pairs of runs" : "holds");
        return broken > 0 ? 1 : 0;
    }

    private static String job(int workMs) {
        return "{\"spec\":\"run-ms=" + workMs
                + "\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":" + workMs + "}]}";
    }

    /**
     * Counts pairs of runs of one task that were under way at the same time on runners that were up, or of which one began
     * after the other had ended as done, if that end was taken note of then or later.
     */
    private static int count(List<Runner> runners, Record record) {
        int broken = 0;
        List<Runner.Run> runs = new ArrayList<>();
        runners.forEach(runner -> runs.addAll(runner.runs()));
        for (Runner.Run first : runs) {
            for (Runner.Run second : runs) {
                boolean isPair = first != second
                        && first.task().equals(second.task())
                        && (second.beganMs() > first.beganMs()
                                || (second.beganMs() == first.beganMs() && second.number() > first.number()));
                if (!isPair) {
                    continue;
                }
                if (second.beganMs() < first.endedMs()) {
                    broken++;
                    record.line("test: %s: run %d (%s) and run %d (%s) are both under way for %d ms", first.task(),
                            first.number(), first.how(), second.number(), second.how(),
                            Math.min(first.endedMs(), second.endedMs()) - second.beganMs());
                } else if (first.how().equals("done") && first.isNoted()) {
                    broken++;
                    record.line("test: %s: run %d begins %d ms after run %d has ended as done, which was taken note of",
                            first.task(), second.number(), second.beganMs() - first.endedMs(), first.number());
                }
            }
        }
        return broken;
    }
}
