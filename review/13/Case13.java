import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A runner leaves a start unanswered, is cut off, and crashes and starts again behind the cut, under its id. The order is carried
 * out late by its next life, while the task already runs elsewhere.
 */
final class Case13 {
    /** For so long the site's file lets a share of the orders be late. */
    private static final long SPAN_MS = 5_500;
    private static final long LATE_MS = 7_500;
    private static final long CUT_MS = 8_000;
    private static final long CRASH_AFTER_MS = 1_000;
    private static final long DOWN_MS = 600;
    private static final long WORK_MS = 5_000;
    private static final long SMALL_JOB_EVERY_MS = 100;
    private static final long UP_MS = 12_000;

    private Case13() {}

    public static void main(String[] args) {
        Case.run(args, Site::boundsOfKoroSleeves, 3, 2, 9, Case13::play);
    }

    private static List<String> play(Site site, List<Runner> runners, boolean isTroubled) throws Exception {
        try (Clients clients = new Clients(site)) {
            // The lease of the order is reckoned on the clock of a life that has been up for some time.
            Site.pause(UP_MS);
            Thread traffic = smallJobs(clients);
            Site.pause(SPAN_MS);
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
                holder[0].cutOff(true);
                Site.pause(CRASH_AFTER_MS);
                holder[0].crash();
                Site.pause(DOWN_MS);
                holder[0].boot();
                Site.pause(CUT_MS - CRASH_AFTER_MS - DOWN_MS);
                holder[0].cutOff(false);
            } else {
                clients.submitNow(0, id, Site.job(1, WORK_MS, 4_000, ""));
            }
            traffic.interrupt();
            traffic.join();
            long untilMs = site.trace.nowMs() + 25_000;
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

    /** Hands in small jobs until it is interrupted. */
    private static Thread smallJobs(Clients clients) {
        Thread traffic = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                clients.submit(Site.newId(), Site.job(2, 50, 1_000, ""));
                Site.pause(SMALL_JOB_EVERY_MS);
            }
        });
        traffic.start();
        return traffic;
    }
}
