package org.lovagegrade.replay.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;

/**
 * Reads a trace of JSON lines.
 *
 * <p>Example: {@code List<TraceLine> lines = TraceReader.read(path, System.err::println);}
 */
public final class TraceReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String file;
    private final Consumer<String> warnings;
    private final List<TraceLine> lines = new ArrayList<>();
    private long number;
    private long lastAtMs = Long.MIN_VALUE;

    private TraceReader(String file, Consumer<String> warnings) {
        this.file = file;
        this.warnings = warnings;
    }

    /**
     * Reads a whole trace.
     *
     * @param path the file
     * @param warnings takes notes of fields that are not known and were passed over
     * @return its lines, in order
     * @throws MalformedTraceException if a line can't be read
     * @throws IOException if the file can't be read
     */
    public static List<TraceLine> read(Path path, Consumer<String> warnings)
            throws MalformedTraceException, IOException {
        TraceReader reader = new TraceReader(path.toString(), warnings);
        try (BufferedReader input = Files.newBufferedReader(path)) {
            String text = input.readLine();
            while (text != null) {
                reader.take(text);
                text = input.readLine();
            }
        }
        return List.copyOf(reader.lines);
    }

    private void take(String text) throws MalformedTraceException {
        number++;
        if (text.isBlank()) {
            return;
        }
        LineFields fields = new LineFields(file, number, parse(text));
        String event = fields.text("event");
        long atMs = event.equals("outcome") && fields.isAbsent("atMs") ? lastAtMs : fields.whole("atMs");
        if (atMs < lastAtMs) {
            throw new MalformedTraceException(file, number, "atMs", "at least " + lastAtMs, "" + atMs);
        }
        lastAtMs = atMs;
        lines.add(line(event, atMs, fields));
        for (String unknown : fields.unknown()) {
            warnings.accept(file + ":" + number + ": field '" + unknown + "' is not known and was passed over");
        }
    }

    private JsonNode parse(String text) throws MalformedTraceException {
        try {
            JsonNode node = JSON.readTree(text);
            if (node == null || !node.isObject()) {
                throw new MalformedTraceException(file, number, "(whole line)", "a JSON object", text);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new MalformedTraceException(file, number, "(whole line)", "a JSON object", e.getOriginalMessage());
        }
    }

    private TraceLine line(String event, long atMs, LineFields fields) throws MalformedTraceException {
        return switch (event) {
            case "worker" -> new TraceLine.WorkerLine(atMs, worker(fields));
            case "team" -> new TraceLine.WorkspaceLine(atMs, workspace(fields));
            case "class" -> new TraceLine.ClassLine(atMs, workClass(fields));
            case "submit" -> submit(atMs, fields);
            case "cancel" -> new TraceLine.CancelLine(atMs, fields.text("id"));
            case "workerLost" -> new TraceLine.WorkerLostLine(atMs, fields.text("id"));
            case "workerBack" -> new TraceLine.WorkerBackLine(atMs, fields.text("id"));
            case "workerFails" -> new TraceLine.WorkerFailsLine(atMs, fields.text("id"), fields.flag("failing"));
            case "limit" -> new TraceLine.LimitLine(atMs, fields.text("team"), limits(fields));
            case "outcome" ->
                new TraceLine.OutcomeLine(
                        atMs,
                        fields.text("measure"),
                        fields.optionalNumber("atMost"),
                        fields.optionalNumber("atLeast"));
            default -> throw new MalformedTraceException(file, number, "event", "a known event", event);
        };
    }

    private static Worker worker(LineFields fields) throws MalformedTraceException {
        return new Worker(fields.text("id"), fields.text("failureDomain"), fields.text("rack"), resources(fields));
    }

    private static Workspace workspace(LineFields fields) throws MalformedTraceException {
        double share = fields.number("share");
        if (!(share >= 0 && share <= 1)) {
            throw fields.malformed("share", "a number from 0 to 1", null);
        }
        return new Workspace(fields.text("id"), share, limits(fields));
    }

    private static Limits limits(LineFields fields) throws MalformedTraceException {
        Double cores = fields.optionalNumber("limitCores");
        return Limits.of(
                cores == null ? OptionalLong.empty() : OptionalLong.of(milliCores(cores)),
                fields.optionalWhole("limitMemoryMb"),
                fields.optionalWhole("limitAccelerators"));
    }

    private static WorkClass workClass(LineFields fields) throws MalformedTraceException {
        String kind = fields.text("kind");
        for (ClassKind known : ClassKind.values()) {
            if (known.name().toLowerCase(Locale.ROOT).equals(kind)) {
                return new WorkClass(
                        fields.text("id"),
                        known,
                        fields.optionalWhole("waitTargetMs"),
                        fields.optionalWhole("recoveryTargetMs"),
                        fields.optionalWhole("shareTargetMs"));
            }
        }
        throw fields.malformed("kind", "service, batch or gang", null);
    }

    private static TraceLine submit(long atMs, LineFields fields) throws MalformedTraceException {
        Resources perTask = resources(fields);
        Job job = new Job(
                fields.text("id"),
                fields.text("team"),
                fields.text("class"),
                (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, fields.whole("tasks"))),
                perTask,
                fields.optionalWhole("declaredRunMs").orElse(0),
                atMs);
        Double usedCores = fields.optionalNumber("usedCores");
        long usedMemoryMb = fields.optionalWhole("usedMemoryMb").orElse(perTask.memoryMb());
        Resources used = Resources.of(
                usedCores == null ? perTask.milliCores() : milliCores(usedCores), usedMemoryMb, perTask.accelerators());
        return new TraceLine.SubmitLine(atMs, job, fields.optionalWhole("actualRunMs"), used);
    }

    private static Resources resources(LineFields fields) throws MalformedTraceException {
        return Resources.of(milliCores(fields.number("cores")), fields.whole("memoryMb"), fields.whole("accelerators"));
    }

    private static long milliCores(double cores) {
        return Math.round(cores * Resources.MILLI_CORES_PER_CORE);
    }
}
