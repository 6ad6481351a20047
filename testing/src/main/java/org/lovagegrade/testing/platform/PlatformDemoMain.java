package org.lovagegrade.testing.platform;

import java.nio.file.Path;
import java.util.List;
import org.lovagegrade.kernel.http.SimpleHttpClient;

/** Plays the platform for the demonstration: runners, adviser, operator and one client with one job. */
public final class PlatformDemoMain {
    private static final int REPLICAS = 3;
    private static final int ENTRIES = 2;
    private static final int RUNNERS = 6;
    private static final int FIRST_PORT = 21_400;
    private static final int POLLS = 300;
    private static final long POLL_MS = 100;

    private PlatformDemoMain() {}

    /**
     * Writes the settings files, or plays the demonstration.
     *
     * @param args {@code settings FOLDER} or {@code play FOLDER}
     * @throws InterruptedException if it is interrupted while it waits
     */
    public static void main(String[] args) throws InterruptedException {
        if (args.length != 2) {
            System.err.println("expected: settings FOLDER or play FOLDER\n  actual: " + String.join(" ", args));
            System.exit(2);
        }
        SimpleHttpClient http = SimpleHttpClient.create();
        PlatformSite site = PlatformSite.of(Path.of(args[1]).toAbsolutePath(), REPLICAS, ENTRIES, FIRST_PORT, http);
        if (args[0].equals("settings")) {
            site.writeSettings();
        } else {
            System.exit(play(site) ? 0 : 1);
        }
        http.close();
    }

    private static boolean play(PlatformSite site) throws InterruptedException {
        List<EmulatedRunner> runners = site.runners(RUNNERS);
        runners.forEach(EmulatedRunner::start);
        site.adviser().start();
        System.out.println("An operator sends the desired state until it is accepted:");
        int status = 0;
        for (int poll = 0; poll < POLLS && status != 200; poll++) {
            status = site.configure(poll % REPLICAS, 1, PlatformSite.SERVICE);
            Thread.sleep(POLL_MS);
        }
        System.out.println("  " + status + "; an invalid one is refused: " + site.configure(0, 2, "unknown"));
        String id = "00000000000000a1";
        String phases = "[{\"count\":4,\"cpu\":2000,\"mem_mb\":256,\"gang\":true},"
                + "{\"count\":6,\"cpu\":1000,\"mem_mb\":128,\"after\":[0]}]";
        System.out.println(
                "A client hands in a gang of 4 tasks and 6 tasks after it, with a wrong key and with its own:");
        System.out.println("  " + site.submit(0, id, "wrong", phases, "run-ms=400") + ", "
                + site.submit(0, id, PlatformSite.KEY, phases, "run-ms=400"));
        String state = "";
        for (int poll = 0; poll < POLLS && !state.contains("completed"); poll++) {
            Thread.sleep(POLL_MS);
            String next = site.state(1, id);
            if (!next.equals(state)) {
                System.out.println("  the other entry says " + next);
            }
            state = next;
        }
        int begun = runners.stream().mapToInt(runner -> runner.begun().size()).sum();
        System.out.println("Runs begun on the runners: " + begun);
        return state.contains("completed");
    }
}
