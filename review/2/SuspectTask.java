package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One runner crashes while jobs keep coming, and a lasting task is at work on each runner. */
final class SuspectTask extends Scenario {
    private static final String LASTING_JOB = "00aa7a21d94b36f8";
    private static final int RUNNERS = 8;
    private static final int JOBS = 40;
    private static final int JOBS_BEFORE_CRASH = 30;
    private static final int JOB_INTERVAL_MS = 40;
    private static final int DOWN_MS = 4_500;
    private static final int STARVED_S = 4;
    private static final int LONGEST_WATCH_S = 35;

    private final List<Runner> runners = new ArrayList<>();

    public static void main(String[] args) {
        new SuspectTask().main(args[0]);
    }

    @Override
    boolean play() throws IOException, InterruptedException, NotRunException {
        for (int n = 0; n < RUNNERS; n++) {
            runners.add(runner(n));
        }
        Thread.sleep(2_000);
        String lasting = Client.job(
                "lasting",
                Client.step(RUNNERS, 1_000, 2_000, 0, phase -> phase.put("long_running", true).put("anti_affinity", 1)));
        require(
                client.submit(Client.URGENT_PREFIX, LASTING_JOB, lasting, 4).status() == 200,
                "the lasting job was not accepted");
        require(
                await(10_000, () -> runners.stream().allMatch(runner -> runner.runningNow() == 1)),
                "the lasting tasks are not all at work");
        List<String> jobs = sendJobsAroundCrash();
        log.line("end of the traffic");
        Thread.sleep(Fleet.FINISH_MS);
        Optional<String> starved = starvedJob(jobs);
        jobs.forEach(job -> log.line("job %s is shown as %s", job, client.state(job)));
        runners.forEach(Runner::stop);
        return starved.isPresent();
    }

    /** Jobs of one task of 3 s come all the time; after some of them, the runner that has most of them crashes. */
    private List<String> sendJobsAroundCrash() throws IOException, InterruptedException, NotRunException {
        List<String> jobs = new ArrayList<>();
        int crashed = -1;
        long crashedAtMs = 0;
        for (int n = 0; n < JOBS; n++) {
            String id = String.format("66bb7a21d94b3%03x", n);
            String job = Client.job("run-ms=3000", Client.step(1, 200, 500, 3_000));
            require(client.submit(id, job, 4).status() == 200, "a job was not accepted");
            jobs.add(id);
            Thread.sleep(JOB_INTERVAL_MS);
            if (hasTrouble && n == JOBS_BEFORE_CRASH) {
                crashed = indexOfBusiest();
                crashedAtMs = log.nowMs();
                runners.get(crashed).crash();
            }
        }
        if (crashed >= 0) {
            Thread.sleep(Math.max(0, crashedAtMs + DOWN_MS - log.nowMs()));
            runners.set(crashed, runner(crashed));
        }
        return jobs;
    }

    private int indexOfBusiest() {
        int busiest = 0;
        for (int n = 1; n < RUNNERS; n++) {
            busiest = runners.get(n).runningNow() > runners.get(busiest).runningNow() ? n : busiest;
        }
        return busiest;
    }

    /** A job that has nothing running and isn't completed for longer than 3 s, finish_s after the end of the traffic. */
    private Optional<String> starvedJob(List<String> jobs) throws InterruptedException {
        Optional<String> starved = Optional.empty();
        for (String job : jobs) {
            int idleS = 0;
            while (idleS < LONGEST_WATCH_S && isIdle(job)) {
                Thread.sleep(1_000);
                idleS++;
            }
            if (idleS >= STARVED_S) {
                log.line("LOST: for %d s, job %s has nothing running and is shown as %s", idleS, job, client.state(job));
                starved = Optional.of(job);
                break;
            }
        }
        return starved;
    }

    private boolean isIdle(String job) {
        return runners.stream().noneMatch(runner -> runner.isRunningJob(job))
                && !client.state(job).equals("completed");
    }

    private Runner runner(int n) throws IOException {
        Runner runner = new Runner("i-7f3a91c" + n, n, fleet, 16_000, log, history);
        runner.start();
        return runner;
    }
}
