import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One runner of twelve is cut off while jobs come. The rule MIXED then holds for the count of the queue's pending jobs. */
public final class PendingCount {
    private static final int RUNNERS = 12;
    private static final int JOBS = 12;
    private static final int FIRST_JOB = 100;
    private static final int CUT_MS = 5_500;
    private static final int VISIBLE_MS = 3_000;
    private static final int MORE_MS = 2_000;
    private static final Pattern PENDING = Pattern.compile("\"pending\":([0-9]+)");

    private PendingCount() {}

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
        String job = "{\"spec\":\"run-ms=300\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":300}]}";
        for (int n = 0; n < JOBS; n++) {
            site.client(n, "POST", "/pitch/" + Site.id(n), job);
        }
        Runner.sleep(1_500);
        if (hasTrouble) {
            runners.get(0).cut(true);
        }
        long cutAtMs = record.nowMs();
        long[] acceptedAtMs = new long[JOBS];
        for (int n = 0; n < JOBS; n++) {
            int next = n;
            Runner.daemon(() -> {
                if (site.client(next, "POST", "/pitch/" + Site.id(FIRST_JOB + next), job).isOk()) {
                    acceptedAtMs[next] = record.nowMs();
                }
            });
            Runner.sleep(5);
        }
        int broken = 0;
        int asked = 0;
        while (record.nowMs() - cutAtMs < CUT_MS) {
            long askedAtMs = record.nowMs();
            Matcher answer = PENDING.matcher(site.client(asked++, "GET", "/pitch/", "").body());
            if (!answer.find()) {
                continue;
            }
            // Counted after the answer, so that a job that began meanwhile isn't owed.
            long owed = owed(runners, acceptedAtMs, askedAtMs);
            if (2 * Long.parseLong(answer.group(1)) < owed) {
                broken++;
                record.line("test: %d jobs were accepted over %d ms before and haven't begun; the answer says %s", owed,
                        VISIBLE_MS + MORE_MS, answer.group(1));
            }
            Runner.sleep(100);
        }
        if (hasTrouble) {
            runners.get(0).cut(false);
        }
        Runner.sleep(6_000);
        record.line("test: %d answers, MIXED %s", asked, broken > 0 ? "is broken by " + broken + " of them" : "holds");
        return broken > 0 ? 1 : 0;
    }

    private static long owed(List<Runner> runners, long[] acceptedAtMs, long askedAtMs) {
        List<Runner.Run> runs = new ArrayList<>();
        runners.forEach(runner -> runs.addAll(runner.runs()));
        long owed = 0;
        for (int n = 0; n < JOBS; n++) {
            String id = Site.id(FIRST_JOB + n);
            boolean isOld = acceptedAtMs[n] > 0 && acceptedAtMs[n] + VISIBLE_MS + MORE_MS < askedAtMs;
            if (isOld && runs.stream().noneMatch(run -> run.task().startsWith(id))) {
                owed++;
            }
        }
        return owed;
    }
}
