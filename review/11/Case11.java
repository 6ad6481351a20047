import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The core loses power, a runner crashes and is back under its old id, and a late order meant for its former life is carried
 * out by the new one. The next leader notes the new life's end with the cursor of the former one, and starts the task again.
 */
final class Case11 {
    /** For so long the site's file lets a share of the orders be late. */
    private static final long SPAN_MS = 5_500;
    private static final long LATE_MS = 2_000;
    private static final long CORE_DOWN_MS = 2_000;
    private static final long RUNNER_DOWN_MS = 600;
    private static final long WORK_MS = 100;
    private static final int JOBS_BEFORE = 40;

    private Case11() {}

    public static void main(String[] args) {
        Case.run(args, 4, 2, 8, Case11::play);
    }

    private static List<String> play(Site site, List<Runner> runners, boolean isTroubled) throws Exception {
        try (Clients clients = new Clients(site)) {
            for (int n = 0; n < JOBS_BEFORE; n++) {
                clients.submitNow(n, Site.newId(), Site.job(2, 50, 4_000, ""));
            }
            Site.pause(1_000);
            String id = Site.newId();
            site.trace.say("the job of the case is " + id);
            if (isTroubled) {
                AtomicBoolean isHeld = new AtomicBoolean();
                Runner[] holder = new Runner[1];
                for (Runner runner : runners) {
                    runner.carryOutLate(task -> {
                        boolean isFirst = task.startsWith(id) && isHeld.compareAndSet(false, true);
                        holder[0] = isFirst ? runner : holder[0];
                        return isFirst ? LATE_MS : 0;
                    });
                }
                clients.submitNow(0, id, Site.job(1, WORK_MS, 4_000, ""));
                while (!isHeld.get()) {
                    Site.pause(5);
                }
                long others = Judge.begunSince(site.trace.nowMs() - SPAN_MS);
                site.trace.say("in the " + SPAN_MS + " ms before, " + others + " other starts were carried out at once");
                Site.pause(200);
                for (int n = 0; n < site.replicas; n++) {
                    site.signal("replica-" + n, "KILL");
                }
                holder[0].crash();
                Site.pause(RUNNER_DOWN_MS);
                holder[0].boot();
                Site.pause(CORE_DOWN_MS - RUNNER_DOWN_MS);
                for (int n = 0; n < site.replicas; n++) {
                    site.startReplica(n, false);
                }
            } else {
                clients.submitNow(0, id, Site.job(1, WORK_MS, 4_000, ""));
            }
            long untilMs = site.trace.nowMs() + 20_000;
            String state = "";
            while (!state.contains("completed") && site.trace.nowMs() < untilMs) {
                state = site.client(0, "GET", "/jobs/" + id, "").body();
                Site.pause(300);
            }
            site.trace.say("state of the job: " + state);
            Site.pause(1_000);
            return Judge.broken().stream().map(line -> "TWICE: " + line).toList();
        }
    }
}
