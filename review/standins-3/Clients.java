import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Clients that hand jobs in, and ask for them at the end. A client tries again as the pages say. */
final class Clients implements AutoCloseable {
    private static final int RETRIES = 4;

    private final Site site;
    private final ExecutorService threads = Executors.newFixedThreadPool(48);
    private final Set<String> accepted = new LinkedHashSet<>();
    private final Map<Integer, Integer> lastAnswers = new TreeMap<>();
    private int next;

    Clients(Site site) {
        this.site = site;
    }

    /** Hands a job in, on a thread of its own, and again under the same id while there is no clear answer. */
    void submit(String id, String body) {
        int first = next++;
        threads.execute(() -> submitNow(first, id, body));
    }

    int submitNow(int first, String id, String body) {
        int status = 0;
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
            Http.Answer answer = site.client((first + attempt) % site.entries, "POST", "/jobs/" + id, body);
            status = answer.status();
            site.trace.add("POST " + id + " (" + body.length() + " bytes) attempt " + (attempt + 1) + ": " + status);
            if (answer.isOk() || (status >= 400 && status < 500 && status != 429)) {
                break;
            }
            Site.pause(status == 503 || status == 429 ? answer.retryAfterS() * 1_000L : 200L << attempt);
        }
        synchronized (this) {
            lastAnswers.merge(status, 1, Integer::sum);
            if (status >= 200 && status < 300) {
                accepted.add(id);
            }
        }
        return status;
    }

    synchronized List<String> accepted() {
        return new ArrayList<>(accepted);
    }

    synchronized Map<Integer, Integer> lastAnswers() {
        return new TreeMap<>(lastAnswers);
    }

    /** Asks for all accepted jobs for some time, each until it is answered; returns those without an answer. */
    List<String> unanswered(long forMs) throws InterruptedException {
        long untilMs = site.trace.nowMs() + forMs;
        List<String> missing = new ArrayList<>();
        ExecutorService askers = Executors.newFixedThreadPool(48);
        for (String id : accepted()) {
            askers.execute(() -> {
                int status = 0;
                for (int n = 0; status != 200 && trace().nowMs() < untilMs; n++) {
                    Http.Answer answer = site.client(n % site.entries, "GET", "/jobs/" + id, "");
                    status = answer.status();
                    trace().add("GET " + id + ": " + status + " " + answer.body());
                    if (status != 200) {
                        Site.pause(500);
                    }
                }
                if (status != 200) {
                    synchronized (missing) {
                        missing.add(id + " (last answer " + status + ")");
                    }
                }
            });
        }
        askers.shutdown();
        askers.awaitTermination(forMs + 10_000, TimeUnit.MILLISECONDS);
        synchronized (missing) {
            return new ArrayList<>(missing);
        }
    }

    private Trace trace() {
        return site.trace;
    }

    void awaitEnd(long ms) throws InterruptedException {
        threads.shutdown();
        threads.awaitTermination(ms, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
