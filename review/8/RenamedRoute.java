import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A new desired state removes a route and adds one with another name for the same host and prefix. The rule LOST then holds
 * for a job that was accepted before.
 */
public final class RenamedRoute {
    private static final int RUNNERS = 6;
    private static final int JOBS = 5;
    private static final int WORK_MS = 8_000;
    private static final int VISIBLE_MS = 3_000;
    private static final int CONFIG_APPLY_MS = 2_000;

    private RenamedRoute() {}

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
            runners.add(new Runner("i-" + n, Site.SERVICE, "zone-" + n % 3, List.of("a", "r" + n % 3 + "-1"), 32_000,
                    Site.STOP_MS, site.runnerHost(), site.controls(), record));
        }
        runners.forEach(Runner::start);
        Runner.sleep(4_000);
        String job = "{\"spec\":\"run-ms=" + WORK_MS
                + "\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":" + WORK_MS + "}]}";
        for (int n = 0; n < JOBS; n++) {
            if (!site.client(n, "POST", "/pitch/" + Site.id(n), job).isOk()) {
                record.line("test: a job wasn't accepted");
                return Site.COULD_NOT_RUN;
            }
        }
        Runner.sleep(VISIBLE_MS);
        ask(site, "before the change");
        if (!site.configure(2, Site.route(hasTrouble ? "r-2" : "r-1", "/pitch/"))) {
            return Site.COULD_NOT_RUN;
        }
        Runner.sleep(CONFIG_APPLY_MS + 500);
        int gone = ask(site, "while they run");
        Runner.sleep(WORK_MS);
        gone += ask(site, "after their end");
        record.line("test: LOST %s", gone > 0 ? "is broken by " + gone + " answers" : "holds");
        return gone > 0 ? 1 : 0;
    }

    /** Asks for each job and returns for how many the answer is that no such job exists. */
    private static int ask(Site site, String when) {
        int gone = 0;
        for (int n = 0; n < JOBS; n++) {
            gone += site.client(n, "GET", "/pitch/" + Site.id(n), "").status() == 410 ? 1 : 0;
        }
        if (gone > 0) {
            System.out.println(gone + " of " + JOBS + " accepted jobs are gone " + when);
        }
        return gone;
    }
}
