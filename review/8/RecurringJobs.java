import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Seven large jobs come within four seconds: each is to run every half minute for a month. The rule LOST then holds for all
 * jobs that were accepted, if every one of them still gets an answer.
 */
public final class RecurringJobs {
    private static final int RUNNERS = 6;
    private static final int LARGE_JOBS = 7;
    private static final int LARGE_JOBS_WITHOUT_TROUBLE = 1;
    private static final long MS_BETWEEN_LARGE_JOBS = 500;
    private static final int MONTH_OF_HALF_MINUTES = 86_400;
    private static final long HALF_MINUTE_MS = 30_000;
    private static final long HOUR_MS = 3_600_000;
    private static final int SMALL_JOBS = 10;
    private static final long FINISH_MS = 14_000;
    private static final long ASKED_FOR_MS = 30_000;
    private static final long RESTART_DELAY_MS = 500;

    private RecurringJobs() {}

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(args[0])); Site site = new Site(record)) {
            System.exit(play(site, record, hasTrouble));
        }
    }

    private static int play(Site site, Record record, boolean hasTrouble) throws Exception {
        if (!site.configure(1, Site.route("r-1", "/pitch/")) || !site.awaitReady()) {
            record.line("test: the site isn't ready");
            return 2;
        }
        List<Runner> runners = new ArrayList<>();
        for (int n = 0; n < RUNNERS; n++) {
            runners.add(new Runner("i-" + n, Site.SERVICE, "zone-" + n % 3, List.of("a", "r" + n % 3 + "-1"), 32_000,
                    Site.STOP_MS, site.runnerHost(), site.controls(), record));
        }
        runners.forEach(Runner::start);
        Runner.sleep(4_000);
        Map<String, Integer> endsByProcess = new TreeMap<>();
        Runner.daemon(() -> restartEnded(site, endsByProcess));
        List<Long> accepted = new ArrayList<>();
        for (long id = 1; id <= SMALL_JOBS; id++) {
            submit(site, id, "\"phases\":[{\"count\":2,\"cpu\":2000,\"mem_mb\":256,\"est_runtime_ms\":500}]", accepted);
        }
        Runner.sleep(3_000);
        int large = hasTrouble ? LARGE_JOBS : LARGE_JOBS_WITHOUT_TROUBLE;
        for (long id = 101; id <= 100 + large; id++) {
            String repeated = "\"repeat_count\":" + MONTH_OF_HALF_MINUTES + ",\"first_ms\":"
                    + (System.currentTimeMillis() + HOUR_MS) + ",\"interval_ms\":" + HALF_MINUTE_MS
                    + ",\"phases\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"est_runtime_ms\":500}]";
            submit(site, id, repeated, accepted);
            Runner.sleep(MS_BETWEEN_LARGE_JOBS);
        }
        Runner.sleep(FINISH_MS);
        record.line("test: %d jobs were accepted; each is asked for now", accepted.size());
        List<Long> unanswered = new ArrayList<>(accepted);
        long untilMs = record.nowMs() + ASKED_FOR_MS;
        for (int attempt = 0; !unanswered.isEmpty() && record.nowMs() < untilMs; attempt++) {
            int entry = attempt;
            unanswered.removeIf(id -> site.client(entry, "GET", "/pitch/" + Site.id(id), "").isOk());
            Runner.sleep(200);
        }
        Http.Answer read = Http.call(site.controls().get(0), "GET", "/api/config", "", "", 3_000);
        record.line("operator: reads the desired state -> %d", read.status());
        synchronized (endsByProcess) {
            record.line("test: processes that ended by themselves, and how often: %s", endsByProcess);
        }
        record.line("test: %d of %d accepted jobs got no answer in %d s: LOST %s", unanswered.size(), accepted.size(),
                ASKED_FOR_MS / 1_000, unanswered.isEmpty() ? "holds" : "is broken");
        return unanswered.isEmpty() ? 0 : 1;
    }

    private static void submit(Site site, long id, String rest, List<Long> accepted) {
        String body = "{\"spec\":\"run-ms=500\"," + rest + "}";
        for (int attempt = 0; attempt < 3; attempt++) {
            if (site.client(attempt, "POST", "/pitch/" + Site.id(id), body).isOk()) {
                accepted.add(id);
                return;
            }
        }
    }

    /** Starts each process again a short time after it has ended by itself, as the platform does. */
    private static void restartEnded(Site site, Map<String, Integer> endsByProcess) {
        while (true) {
            try {
                List<String> ended = site.restartEnded();
                synchronized (endsByProcess) {
                    ended.forEach(name -> endsByProcess.merge(name, 1, Integer::sum));
                }
            } catch (java.io.IOException e) {
                return;
            }
            Runner.sleep(RESTART_DELAY_MS);
        }
    }
}
