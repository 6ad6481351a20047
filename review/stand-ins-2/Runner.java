import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * One runner as PROTOCOL.md describes it. A task works for the milliseconds that its spec says in "run-ms=NUMBER", and
 * then ends done, or failed if its spec also says "run-fails"; one whose spec says "lasts" goes on until it is stopped. The
 * runner can be cut off, it can leave orders unanswered and carry them out late, and it can crash, in silence or with resets,
 * and start again under the same id.
 */
final class Runner {
    private static final int HEARTBEAT_MS = 1_500;
    /** An order that is left unanswered is carried out this much later, and up to so much more. */
    private static final int LATE_AFTER_MS = 2_000;

    private static final int LATE_SPREAD_MS = 10_000;
    private static final Pattern FIELD = Pattern.compile("\"(\\w+)\"\\s*:\\s*(\"((?:[^\"\\\\]|\\\\.)*)\"|-?[0-9]+)");

    /** A run of a task, with the times on the clock of the record, and whether its end was taken note of. */
    record Run(String task, int number, int boot, long beganMs, long endedMs, String how, boolean isNoted) {}

    private final String id;
    private final String service;
    private final String zone;
    private final List<String> labels;
    private final int milliCores;
    private final int stopMs;
    private final List<String> controls;
    private final Record record;
    private final ServerSocket server;
    private final List<Run> history = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile Boot boot;
    private volatile boolean silent;
    private final AtomicInteger startsToLeaveUnanswered = new AtomicInteger();
    private final AtomicInteger stopsToLeaveUnanswered = new AtomicInteger();
    private final Random random = new Random();
    private volatile boolean closed;
    private int boots;

    Runner(
            String id, String service, String zone, List<String> labels, int milliCores, int stopMs, String host,
            List<String> controls, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.labels = labels;
        this.milliCores = milliCores;
        this.stopMs = stopMs;
        this.controls = controls;
        this.record = record;
        this.server = new ServerSocket(0, 256, InetAddress.getByName(host));
        daemon(this::accept);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void start() {
        boots++;
        boot = new Boot(boots);
        silent = false;
        record.line("runner %s: boot %d is up", id, boots);
        daemon(boot::beat);
    }

    /** Ends this life without a word: nothing is answered, and connections stay open until they are used again. */
    void crashInSilence() {
        silent = true;
        Boot lost = boot;
        boot = null;
        lost.end();
        record.line("runner %s: boot %d crashes in silence", id, lost.number);
    }

    /** Leaves the next starts without an answer and carries each of them out 2 to 12 s later, in whatever life there is then. */
    void leaveStartsUnanswered(int count) {
        startsToLeaveUnanswered.set(count);
    }

    int startsStillToLeaveUnanswered() {
        return startsToLeaveUnanswered.get();
    }

    /** The same for stops. */
    void leaveStopsUnanswered(int count) {
        stopsToLeaveUnanswered.set(count);
    }

    int stopsStillToLeaveUnanswered() {
        return stopsToLeaveUnanswered.get();
    }

    private boolean isLeftUnanswered(Http.Message request) {
        boolean isStart = request.firstLine().contains("/api/run-start") && takeOne(startsToLeaveUnanswered);
        return isStart || (request.firstLine().contains("/api/run-stop") && takeOne(stopsToLeaveUnanswered));
    }

    private static boolean takeOne(AtomicInteger count) {
        return count.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }

    private void carryOutLate(Http.Message request) {
        int delayMs = LATE_AFTER_MS + random.nextInt(LATE_SPREAD_MS);
        record.line("runner %s: leaves unanswered %s", id, request.body());
        daemon(() -> {
            sleep(delayMs);
            Boot now = boot;
            if (now != null) {
                record.line("runner %s: carries out %d ms late %s", id, delayMs, request.body());
                now.handle(request);
            }
        });
    }

    /** Ends this life; its connections are reset. */
    void crash() {
        Boot lost = boot;
        boot = null;
        lost.end();
        record.line("runner %s: boot %d crashes", id, lost.number);
        open.forEach(Runner::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
            return;
        }
    }

    /** Cuts the runner off from all machines, or joins it again; it runs on meanwhile. */
    void cut(boolean isCut) {
        silent = isCut;
        record.line("runner %s: %s", id, isCut ? "is cut off" : "is reachable again");
    }

    void close() {
        closed = true;
    }

    /** All runs so far; the end of one that goes on is Long.MAX_VALUE. */
    List<Run> runs() {
        List<Run> all = new ArrayList<>();
        Boot now = boot;
        if (now != null) {
            // Both locks are never held at once here, since the end of a run takes them in the other order.
            synchronized (now) {
                now.running.forEach((task, run) ->
                        all.add(new Run(task, run.number, now.number, run.beganMs, Long.MAX_VALUE, "runs", false)));
            }
        }
        synchronized (history) {
            all.removeIf(run -> history.stream().anyMatch(past ->
                    past.task().equals(run.task()) && past.number() == run.number() && past.boot() == run.boot()));
            all.addAll(history);
        }
        return all;
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Boot opened = boot;
        open.add(socket);
        try (socket) {
            if (opened == null && !silent) {
                // Nobody listens while the runner is down.
                socket.setSoLinger(true, 0);
                return;
            }
            while (!closed) {
                Http.Message request = Http.read(socket.getInputStream());
                if (request == null) {
                    return;
                }
                if (silent) {
                    while (silent && !closed) {
                        sleep(1);
                    }
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (opened == null || opened != boot) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (isLeftUnanswered(request)) {
                    carryOutLate(request);
                    continue;
                }
                String answer = opened.handle(request);
                if (silent || opened != boot) {
                    while (silent && !closed) {
                        sleep(1);
                    }
                    sleep(10_000);
                    return;
                }
                OutputStream out = socket.getOutputStream();
                out.write(answer.getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            return;
        } finally {
            open.remove(socket);
        }
    }

    private static final class Running {
        int number;
        long beganMs;
        long workMs;
        String outcome;
        long stopAtMs = Long.MAX_VALUE;
    }

    /** One life of the runner. */
    private final class Boot {
        final int number;
        final long bornMs = System.currentTimeMillis();
        final long startNs = System.nanoTime();
        final Map<String, Running> running = new LinkedHashMap<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private final List<String> ends = new ArrayList<>();
        private final List<Long> endNumbers = new ArrayList<>();
        private long endNumber;
        private long fence;
        private long leaseUntilMs;
        private long sequence;
        private volatile boolean ended;

        Boot(int number) {
            this.number = number;
            daemon(this::work);
        }

        private long clockMs() {
            return 1 + (System.nanoTime() - startNs) / 1_000_000;
        }

        synchronized void end() {
            ended = true;
            List.copyOf(running.keySet()).forEach(task -> finish(task, "crashed"));
            notifyAll();
        }

        void beat() {
            int control = 0;
            while (!ended && !closed) {
                if (!silent) {
                    sequence++;
                    String labelsJson = labels.stream().map(l -> "\"" + l + "\"").collect(Collectors.joining(","));
                    String body = "{\"service\":\"" + service + "\",\"addr\":\"" + address() + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"machine\":\"m-"
                            + id + "\",\"capacity\":{\"cpu\":" + milliCores
                            + ",\"mem_mb\":131072,\"gpu\":0},\"labels\":[" + labelsJson + "],\"clock_ms\":" + clockMs()
                            + ",\"born\":" + bornMs + ",\"seq\":" + sequence + "}";
                    Http.Answer answer = Http.call(
                            controls.get(control % controls.size()), "PUT", "/api/instances/" + id, "", body, 1_000);
                    if (!answer.isOk()) {
                        control++;
                        continue;
                    }
                }
                sleep(HEARTBEAT_MS);
            }
        }

        String handle(Http.Message request) {
            String[] words = request.firstLine().split(" ");
            String expected = request.header("x-expect-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                return answer(421, "{}");
            }
            Map<String, String> fields = new HashMap<>();
            Matcher matcher = FIELD.matcher(request.body());
            while (matcher.find()) {
                fields.put(matcher.group(1), matcher.group(3) == null ? matcher.group(2) : matcher.group(3));
            }
            synchronized (this) {
                long given = Long.parseLong(fields.getOrDefault("fence", "0"));
                if (given < fence) {
                    return refused("fence");
                }
                fence = given;
                return switch (words[1]) {
                    case "/api/run-start" -> startRun(fields);
                    case "/api/run-stop" -> stopRun(fields);
                    case "/api/hold" -> hold(fields);
                    default -> answer(404, "{}");
                };
            }
        }

        private String startRun(Map<String, String> fields) {
            String task = fields.get("task");
            int run = Integer.parseInt(fields.get("run"));
            grant(fields);
            Running present = running.get(task);
            if (present != null && present.number == run) {
                return done();
            }
            if (run <= highestEnded.getOrDefault(task, 0)) {
                return refused("old");
            }
            if (leaseUntilMs <= clockMs()) {
                return refused("late");
            }
            Running begun = new Running();
            begun.number = run;
            begun.beganMs = record.nowMs();
            Matcher work = Pattern.compile("run-ms=([0-9]+)").matcher(fields.getOrDefault("spec", ""));
            begun.workMs = work.find() ? Long.parseLong(work.group(1)) : 100;
            begun.outcome = fields.getOrDefault("spec", "").contains("run-fails") ? "failed" : "done";
            if (fields.getOrDefault("spec", "").contains("lasts")) {
                begun.workMs = Long.MAX_VALUE / 1_000;
            }
            running.put(task, begun);
            record.line("runner %s boot %d: begins %s run %d", id, number, task, run);
            return done();
        }

        private String stopRun(Map<String, String> fields) {
            String task = fields.get("task");
            int run = Integer.parseInt(fields.get("run"));
            Running present = running.get(task);
            if (present != null && present.number == run) {
                present.stopAtMs = Math.min(present.stopAtMs, record.nowMs() + stopMs);
                record.line("runner %s boot %d: is told to stop %s run %d", id, number, task, run);
            } else {
                highestEnded.merge(task, run, Math::max);
            }
            return done();
        }

        private String hold(Map<String, String> fields) {
            grant(fields);
            long cursor = Long.parseLong(fields.getOrDefault("ack_cursor", "0"));
            while (!endNumbers.isEmpty() && endNumbers.get(0) <= cursor) {
                record.line("runner %s boot %d: end %s is taken note of", id, number, ends.get(0));
                note(ends.get(0));
                endNumbers.remove(0);
                ends.remove(0);
            }
            long untilMs = clockMs() + Long.parseLong(fields.getOrDefault("wait_ms", "0"));
            while (ends.isEmpty() && clockMs() < untilMs && !ended) {
                try {
                    wait(Math.max(1, untilMs - clockMs()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            String runs = running.entrySet().stream()
                    .map(entry -> "[\"" + entry.getKey() + "\"," + entry.getValue().number + ",\"\","
                            + percent(entry.getValue()) + ",0]")
                    .collect(Collectors.joining(","));
            return answer(
                    200,
                    "{\"clock_ms\":" + clockMs() + ",\"born\":" + bornMs + ",\"running\":[" + runs
                            + "],\"finished\":[" + String.join(",", ends) + "]}");
        }

        /** Marks the run of an end, which is listed as [number, task, run, how, saved]. */
        private void note(String end) {
            String[] parts = end.split(",");
            String task = parts[1].replace("\"", "");
            int run = Integer.parseInt(parts[2]);
            synchronized (history) {
                history.replaceAll(past -> past.task().equals(task) && past.number() == run && past.boot() == number
                        ? new Run(task, run, number, past.beganMs(), past.endedMs(), past.how(), true)
                        : past);
            }
        }

        private long percent(Running run) {
            return Math.min(99, 100 * (record.nowMs() - run.beganMs) / Math.max(1, run.workMs));
        }

        private void grant(Map<String, String> fields) {
            leaseUntilMs = Math.max(leaseUntilMs, Long.parseLong(fields.getOrDefault("until_ms", "0")));
        }

        private void work() {
            while (!ended && !closed) {
                synchronized (this) {
                    long nowMs = record.nowMs();
                    for (Map.Entry<String, Running> entry : List.copyOf(running.entrySet())) {
                        Running run = entry.getValue();
                        if (nowMs - run.beganMs >= run.workMs) {
                            finish(entry.getKey(), run.outcome);
                        } else if (nowMs >= run.stopAtMs) {
                            finish(entry.getKey(), "stopped");
                        } else if (clockMs() >= leaseUntilMs) {
                            finish(entry.getKey(), "lapsed");
                        }
                    }
                }
                sleep(2);
            }
        }

        private synchronized void finish(String task, String how) {
            Running run = running.remove(task);
            highestEnded.merge(task, run.number, Math::max);
            synchronized (history) {
                history.add(new Run(task, run.number, number, run.beganMs, record.nowMs(), how, false));
            }
            record.line("runner %s boot %d: ends %s run %d as %s", id, number, task, run.number, how);
            if (!ended) {
                endNumber++;
                endNumbers.add(endNumber);
                ends.add("[" + endNumber + ",\"" + task + "\"," + run.number + ",\"" + how + "\",\"\"]");
                notifyAll();
            }
        }

        private String done() {
            return answer(200, "{\"clock_ms\":" + clockMs() + "}");
        }

        private String refused(String reason) {
            return answer(409, "{\"clock_ms\":" + clockMs() + ",\"reason\":\"" + reason + "\"}");
        }
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private static String answer(int status, String body) {
        return "HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }
}
