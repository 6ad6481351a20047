package review;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Runs one case and turns its result into the exit status: 10 the rule was broken, 0 it held, 2 it couldn't run. A status
 * that a Java machine doesn't give by itself tells a broken rule from a machine that failed; run.sh makes it 1.
 */
abstract class Scenario {
    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int NOT_RUN = 2;

    private static final long START_DEADLINE_MS = 25_000;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Runner.History history = new Runner.History();
    Log log;
    Fleet fleet;
    Client client;

    /** Thrown if the case couldn't run. */
    static final class NotRunException extends Exception {
        NotRunException(String reason) {
            super(reason);
        }
    }

    final void main(String file) {
        int status;
        try (Log opened = new Log(Path.of(file))) {
            log = opened;
            log.line("TROUBLE=%d", hasTrouble ? 1 : 0);
            status = runFleet();
            String verdict = status == BROKEN ? "BROKEN" : status == HELD ? "held" : "couldn't run";
            log.line("result: %s", verdict);
            System.out.println(getClass().getSimpleName() + ": " + verdict);
        }
        System.exit(status);
    }

    private int runFleet() {
        try (Fleet started = new Fleet(log, 4, 2)) {
            fleet = started;
            client = new Client(fleet, log);
            fleet.startAll();
            if (!client.configure(START_DEADLINE_MS)) {
                throw new NotRunException("the desired state was not acknowledged");
            }
            return play() ? BROKEN : HELD;
        } catch (NotRunException | IOException | RuntimeException e) {
            log.line("couldn't run: %s", e);
            return NOT_RUN;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return NOT_RUN;
        }
    }

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean play() throws IOException, InterruptedException, NotRunException;

    /** A condition that is waited for. */
    interface Condition {
        boolean holds() throws IOException;
    }

    boolean await(long timeoutMs, Condition condition) throws IOException, InterruptedException {
        long untilMs = log.nowMs() + timeoutMs;
        while (!condition.holds()) {
            if (log.nowMs() >= untilMs) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    void require(boolean holds, String what) throws NotRunException {
        if (!holds) {
            throw new NotRunException(what);
        }
    }
}
