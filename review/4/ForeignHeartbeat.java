package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Another writer sends one heartbeat that lacks a field, while the runner at the address that it names is at work. */
final class ForeignHeartbeat extends Scenario {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int TASKS = 4;
    private static final int RUN_MS = 20_000;

    public static void main(String[] args) {
        new ForeignHeartbeat().main(args[0]);
    }

    @Override
    boolean play() throws IOException, InterruptedException, NotRunException {
        List<Runner> runners = new ArrayList<>();
        for (int n = 0; n < 3; n++) {
            Runner runner = new Runner("i-7f3a91c" + n, n, fleet, 16_000, log, history);
            runner.start();
            runners.add(runner);
        }
        Thread.sleep(2_000);
        String job = Client.job("run-ms=" + RUN_MS, Client.step(TASKS, 2_000, 4_000, RUN_MS));
        require(client.submit(JOB, job, 4).status() == 200, "the job was not accepted");
        int total = TASKS;
        require(
                await(5_000, () -> runners.stream().mapToInt(Runner::runningNow).sum() == total),
                "the tasks have not all begun");
        Thread.sleep(2_000);
        if (hasTrouble) {
            Runner busiest = runners.stream()
                    .max((a, b) -> Integer.compare(a.runningNow(), b.runningNow()))
                    .orElseThrow();
            sendForeignHeartbeat(busiest);
        }
        Thread.sleep(8_000);
        int twice = tasksRunningTwice();
        runners.forEach(Runner::stop);
        return twice > 0;
    }

    /** PROTOCOL.md, Service discovery: a heartbeat may come from another writer, with fields missing. */
    private void sendForeignHeartbeat(Runner named) {
        ObjectNode body = named.report();
        body.remove("born");
        String control = fleet.controls().get(0);
        Client.Answer answer = client.call("PUT", control, "/api/instances/i-0ther001", body.toString(), 1_000, false);
        log.line("other writer: PUT /api/instances/i-0ther001 %s -> %d", body, answer.status());
    }

    private int tasksRunningTwice() {
        Map<String, Runner.Event> running = new HashMap<>();
        int twice = 0;
        for (Runner.Event event : history.events()) {
            if (!event.how().equals("start")) {
                Runner.Event begun = running.get(event.task());
                if (begun != null && begun.run() == event.run()) {
                    running.remove(event.task());
                }
                continue;
            }
            Runner.Event other = running.put(event.task(), event);
            if (other != null) {
                twice++;
                log.line(
                        "TWICE: %s run %d starts on %s while run %d is at work on %s",
                        event.task(), event.run(), event.runner(), other.run(), other.runner());
            }
        }
        log.line("%d tasks were started while an earlier run of theirs was at work", twice);
        return twice;
    }
}
