import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {
    private static final long WATCHDOG_MS = 117_000;

    /** The steps of a case; returns what broke the rule, or nothing if it held. */
    @FunctionalInterface
    interface Play {
        List<String> run(Site site, List<Runner> runners, boolean isTroubled) throws Exception;
    }

    private Case() {}

    static void run(String[] args, int replicas, int entries, int runnerCount, Play play) {
        run(args, site -> {}, replicas, entries, runnerCount, play);
    }

    /** Runs a case on a site with other bounds. */
    static void run(
            String[] args, Consumer<Site> bounds, int replicas, int entries, int runnerCount, Play play) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        List<Runner> runners = new ArrayList<>();
        try (Trace trace = new Trace(Path.of(args[0], "record.txt"));
                Site site = new Site(trace, replicas, entries)) {
            Thread watchdog = new Thread(() -> {
                Site.pause(WATCHDOG_MS);
                trace.say("the case takes too long");
                runners.forEach(Runner::close);
                site.close();
                Runtime.getRuntime().halt(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(site::close));
            trace.say(isTroubled ? "with the disruption" : "TROUBLE=0: without the disruption");
            bounds.accept(site);
            start(site, runners, runnerCount);
            List<String> broken = play.run(site, runners, isTroubled);
            broken.forEach(line -> trace.say("BROKEN: " + line));
            trace.say(broken.isEmpty() ? "the rule held" : "the rule was broken");
            status = broken.isEmpty() ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            runners.forEach(Runner::close);
        }
        System.exit(status);
    }

    /** Starts all processes and runners, and waits until a job has run. */
    private static void start(Site site, List<Runner> runners, int runnerCount) throws Exception {
        site.startAll();
        int status = site.configure(site.desiredState(1), 20_000);
        if (status != 200) {
            throw new IllegalStateException("the first desired state was answered with " + status);
        }
        for (int n = 0; n < runnerCount; n++) {
            Runner runner = new Runner(site, n);
            runners.add(runner);
            runner.boot();
        }
        String id = Site.newId();
        long untilMs = site.trace.nowMs() + 15_000;
        boolean completed = false;
        while (!completed && site.trace.nowMs() < untilMs) {
            site.client(0, "POST", "/jobs/" + id, Site.job(1, 100, 1_000, ""));
            Site.pause(300);
            completed = site.client(0, "GET", "/jobs/" + id, "").body().contains("completed");
        }
        if (!completed) {
            throw new IllegalStateException("the first job did not complete");
        }
        site.trace.say("the deployment serves");
    }
}
