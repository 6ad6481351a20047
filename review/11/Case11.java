import java.util.ArrayList;
import java.util.List;

/** Hourly jobs for a year are handed in, one a second; all replicas run out of memory, and don't come back. */
final class Case11 {
    private static final int TIMED_JOBS = 40;
    private static final int HOURS_OF_A_YEAR = 8_760;
    private static final long HOUR_MS = 3_600_000;
    private static final int TASKS = 6;

    private Case11() {}

    public static void main(String[] args) {
        Case.run(args, 4, 3, 6, Case11::play);
    }

    private static List<String> play(Site site, List<Runner> runners, boolean isTroubled) throws Exception {
        List<String> broken = new ArrayList<>();
        Restarter restarter = new Restarter(site);
        restarter.start();
        try (Clients clients = new Clients(site)) {
            for (int n = 0; n < TIMED_JOBS; n++) {
                clients.submit(Site.newId(), isTroubled ? hourlyJob() : Site.job(TASKS, 500, 1_000, ""));
                clients.submit(Site.newId(), Site.job(2, 500, 1_000, ""));
                Site.pause(1_000);
            }
            clients.awaitEnd(1_000);
            site.trace.say("end of the traffic; last answers by status: " + clients.lastAnswers());
            Site.pause(site.bound("finish_s") * 1_000L);
            List<String> unanswered = clients.unanswered(12_000);
            site.trace.say("accepted jobs: " + clients.accepted().size() + ", without an answer: " + unanswered.size());
            restarter.stopRestarting();
            site.trace.say("ends by themselves: " + restarter.ownEnds());
            for (int n = 0; n < site.replicas; n++) {
                long outOfMemory = site.logs("replica-" + n).lines().filter(line -> line.contains("OutOfMemoryError")).count();
                site.trace.say("replica-" + n + ": lines with OutOfMemoryError: " + outOfMemory);
            }
            if (!unanswered.isEmpty()) {
                broken.add("LOST: " + unanswered.size() + " of " + clients.accepted().size()
                        + " accepted jobs get no answer from finish_s after the traffic on, such as " + unanswered.get(0));
            }
        }
        return broken;
    }

    private static String hourlyJob() {
        return "{\"spec\":\"run-ms=500;\",\"repeat_count\":" + HOURS_OF_A_YEAR + ",\"first_ms\":"
                + (System.currentTimeMillis() + HOUR_MS) + ",\"interval_ms\":" + HOUR_MS + ",\"phases\":[{\"count\":" + TASKS
                + ",\"cpu\":1000,\"mem_mb\":256,\"est_runtime_ms\":500}]}";
    }
}
