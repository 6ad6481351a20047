package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One runner of eight is cut off for 5.5 s while more than 500 small tasks end on it. With KILL_CORE=1, all processes of the
 * core are killed and come back instead.
 */
final class ManyEnds extends Scenario {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int TASKS = 750;
    private static final int RUN_MS = 8_000;
    private static final int RUNNERS = 8;
    private static final int CUT_MS = 5_500;

    public static void main(String[] args) {
        new ManyEnds().main(args[0]);
    }

    @Override
    boolean play() throws IOException, InterruptedException, NotRunException {
        List<Runner> runners = new ArrayList<>();
        for (int n = 0; n < RUNNERS; n++) {
            Runner runner = new Runner("i-7f3a91c" + n, n, fleet, 16_000, log, history);
            runner.start();
            runners.add(runner);
        }
        Thread.sleep(2_000);
        String job = Client.job("run-ms=" + RUN_MS, Client.step(TASKS, 20, 50, RUN_MS));
        require(client.submit(JOB, job, 4).status() == 200, "the job was not accepted");
        require(
                await(15_000, () -> runners.stream().mapToInt(Runner::runningNow).sum() >= TASKS),
                "not all tasks run at the same time");
        runners.forEach(runner -> log.line("runner %s has %d tasks", runner.address(), runner.runningNow()));
        require(
                await(15_000, () -> history.events().stream().anyMatch(event -> event.how().equals("done"))),
                "no task has ended");
        if (hasTrouble && "1".equals(System.getenv("KILL_CORE"))) {
            killAndRestartCore();
        } else if (hasTrouble) {
            runners.stream().filter(runner -> runner.runningNow() > 0).findFirst().orElseThrow().cutFor(CUT_MS);
        }
        await(70_000, () -> client.state(JOB).equals("completed"));
        Thread.sleep(4_000);
        log.line("the job is shown as %s", client.state(JOB));
        boolean isAllNoted = true;
        for (Runner runner : runners) {
            long[] ends = runner.endsAndNoted();
            log.line("runner %s listed ends up to %d, taken note of up to %d", runner.address(), ends[0], ends[1]);
            isAllNoted &= ends[0] == ends[1];
        }
        boolean hasLapsed = history.events().stream().anyMatch(event -> event.how().equals("lapsed"));
        log.line("leases that lapsed: %s", hasLapsed ? "some" : "none");
        runners.forEach(Runner::stop);
        return startsAfterDone() > 0 && isAllNoted && !hasLapsed;
    }

    /** DEPLOY.md, Losses: all processes of the core may be killed at the same moment and be back within a second. */
    private void killAndRestartCore() throws IOException, InterruptedException {
        for (int n = 0; n < 4; n++) {
            fleet.kill("replica-" + n);
        }
        Thread.sleep(800);
        for (int n = 0; n < 4; n++) {
            fleet.writeLaterSettings("replica-" + n);
            fleet.start("replica-" + n);
        }
    }

    /** The starts of tasks that had ended done before; all their ends were taken note of, as endsAndNoted shows. */
    private int startsAfterDone() {
        Set<String> done = new HashSet<>();
        Map<String, Integer> again = new HashMap<>();
        for (Runner.Event event : history.events()) {
            if (event.how().equals("done")) {
                done.add(event.task());
            } else if (event.how().equals("start") && done.contains(event.task())) {
                again.merge(event.task(), 1, Integer::sum);
                if (again.size() <= 5) {
                    log.line("TWICE: %s run %d starts although an earlier run had ended done", event.task(), event.run());
                }
            }
        }
        log.line("%d of %d tasks were started again after a run had ended done", again.size(), TASKS);
        return again.size();
    }
}
