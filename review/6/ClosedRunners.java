import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A few jobs that can never be done fail on runners that also carry lasting tasks. The rule LOST then holds for a job that
 * is handed in afterwards.
 */
public final class ClosedRunners {
    private static final int RUNNERS = 12;
    private static final int RUNNER_MILLI_CORES = 32_000;
    private static final int LASTING_MILLI_CORES = 2_000;
    private static final int TASK_MILLI_CORES = 1_000;
    private static final int PAIRS_OF_POISON = 4;
    private static final int SOUND_JOBS_A_ROUND = 40;
    private static final long FINISH_MS = 14_000;
    private static final long NOTHING_RUNS_MS = 3_000;

    private ClosedRunners() {}

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
            runners.add(new Runner("i-" + n, Site.SERVICE, "zone-" + n % 3, List.of("a", "r" + n % 3 + "-1"),
                    RUNNER_MILLI_CORES, Site.STOP_MS, site.runnerHost(), site.controls(), record));
        }
        runners.forEach(Runner::start);
        Runner.sleep(4_000);
        site.client(0, "POST", "/pitch/" + Site.id(1),
                job("lasts", RUNNERS, LASTING_MILLI_CORES, ",\"long_running\":true,\"anti_affinity\":1"));
        Runner.sleep(1_500);
        int sent = 1;
        int poisoned = 0;
        long id = 100;
        for (int round = 0; round <= PAIRS_OF_POISON; round++) {
            for (int n = 0; n < SOUND_JOBS_A_ROUND; n++) {
                site.client(n, "POST", "/pitch/" + Site.id(id++), job("run-ms=100", 1, TASK_MILLI_CORES, ""));
                sent++;
            }
            Runner.sleep(2_000);
            for (int n = 0; hasTrouble && n < 2 && round < PAIRS_OF_POISON; n++) {
                long poison = id++;
                site.client(n, "POST", "/pitch/" + Site.id(poison), job("run-ms=300 run-fails", 2, TASK_MILLI_CORES, ""));
                sent++;
                poisoned++;
                awaitState(site, poison, "failed");
            }
        }
        long last = id;
        boolean isAccepted = site.client(0, "POST", "/pitch/" + Site.id(last), job("run-ms=100", 1, TASK_MILLI_CORES, ""))
                .isOk();
        sent++;
        record.line("test: %d jobs were sent, %d of them (%.1f%%) can never be done", sent, poisoned,
                100.0 * poisoned / sent);
        if (!isAccepted) {
            record.line("test: the last job wasn't accepted");
            return 2;
        }
        Runner.sleep(FINISH_MS);
        long watchedFromMs = record.nowMs();
        boolean hasBegun = false;
        while (!hasBegun && record.nowMs() - watchedFromMs < 2 * NOTHING_RUNS_MS) {
            hasBegun = hasBegun(runners, last);
            Runner.sleep(100);
        }
        long used = runners.stream()
                .flatMap(runner -> runner.runs().stream())
                .filter(run -> run.endedMs() == Long.MAX_VALUE)
                .mapToLong(run -> run.task().startsWith(Site.id(1)) ? LASTING_MILLI_CORES : TASK_MILLI_CORES)
                .sum();
        site.client(0, "GET", "/pitch/" + Site.id(last), "");
        record.line("test: %d of %d thousandths of a core are in use", used, RUNNERS * RUNNER_MILLI_CORES);
        boolean isCapacityThere = 2 * used < RUNNERS * RUNNER_MILLI_CORES;
        boolean isBroken = !hasBegun && isCapacityThere;
        record.line("test: the last job %s", isBroken ? "has nothing running: LOST is broken" : "has begun: LOST holds");
        return isBroken ? 1 : 0;
    }

    private static boolean hasBegun(List<Runner> runners, long job) {
        return runners.stream()
                .flatMap(runner -> runner.runs().stream())
                .anyMatch(run -> run.task().startsWith(Site.id(job)));
    }

    private static void awaitState(Site site, long job, String state) {
        for (int attempt = 0; attempt < 30; attempt++) {
            if (site.client(attempt, "GET", "/pitch/" + Site.id(job), "").body().contains(state)) {
                return;
            }
            Runner.sleep(100);
        }
    }

    private static String job(String spec, int count, int milliCores, String more) {
        return "{\"spec\":\"" + spec + "\",\"phases\":[{\"count\":" + count + ",\"cpu\":" + milliCores
                + ",\"mem_mb\":256,\"est_runtime_ms\":300" + more + "}]}";
    }
}
