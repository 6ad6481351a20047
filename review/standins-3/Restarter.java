import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Starts replicas again that have ended by themselves, after a short delay, as the platform does; counts such ends. */
final class Restarter extends Thread {
    private static final long DELAY_MS = 1_000;

    private final Site site;
    private final Map<String, Integer> ownEnds = new TreeMap<>();
    private volatile boolean stopped;

    Restarter(Site site) {
        this.site = site;
        setDaemon(true);
    }

    synchronized Map<String, Integer> ownEnds() {
        return new TreeMap<>(ownEnds);
    }

    void stopRestarting() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            for (int n = 0; n < site.replicas; n++) {
                Process process = site.process("replica-" + n);
                if (!process.isAlive()) {
                    restart(n, process.exitValue());
                }
            }
            Site.pause(50);
        }
    }

    private void restart(int n, int exitValue) {
        synchronized (this) {
            ownEnds.merge("replica-" + n, 1, Integer::sum);
        }
        site.trace.say("replica-" + n + " has ended by itself with " + exitValue + "; it is started again in a second");
        Site.pause(DELAY_MS);
        try {
            if (!stopped) {
                site.startReplica(n, false);
            }
        } catch (IOException e) {
            site.trace.say("replica-" + n + " can't be started: " + e);
        }
    }
}
