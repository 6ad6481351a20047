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
    private long lineNumber;
    private long lastAtMs = Long.MIN_VALUE;

    private TraceReader(String file, Consumer<String> warnings) {
        this.file = file;
        this.warnings = warnings;
    }

    /**
     * Reads a whole trace.
     *
     * @param path the file
     * @param warnings receives a message for each unknown field, which is ignored
     * @return the lines, in order
     * @throws MalformedTraceException if a line is malformed
     * @throws IOException if the file can't be read
     */
    public static List<TraceLine> read(Path path, Consumer<String> warnings)
            throws MalformedTraceException, IOException {
        TraceReader reader = new TraceReader(path.toString(), warnings);
        try (BufferedReader input = Files.newBufferedReader(path)) {
            String text = input.readLine();
            while (text != null) {
                reader.addLine(text);
                text = input.readLine();
            }
        }
        return List.copyOf(reader.lines);
    }

    private void addLine(String text) throws MalformedTraceException {
        lineNumber++;
        if (text.isBlank()) {
            return;
        }
        LineFields fields = new LineFields(file, lineNumber, parse(text));
        String event = fields.requiredText("event");
        long atMs = event.equals("outcome") && fields.isAbsent("atMs") ? lastAtMs : fields.requiredLong("atMs");
        if (atMs < lastAtMs) {
            throw new MalformedTraceException(file, lineNumber, "atMs", "at least " + lastAtMs, "" + atMs);
        }
        lastAtMs = atMs;
        lines.add(toLine(event, atMs, fields));
        for (String unreadField : fields.unreadFields()) {
            warnings.accept(file + ":" + lineNumber + ": field '" + unreadField + "' is unknown and was ignored");
        }
    }

    private JsonNode parse(String text) throws MalformedTraceException {
        try {
            JsonNode node = JSON.readTree(text);
            if (node == null || !node.isObject()) {
                throw new MalformedTraceException(file, lineNumber, "(whole line)", "a JSON object", text);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new MalformedTraceException(
                    file, lineNumber, "(whole line)", "a JSON object", e.getOriginalMessage());
        }
    }

    private TraceLine toLine(String event, long atMs, LineFields fields) throws MalformedTraceException {
        return switch (event) {
            case "worker" -> new TraceLine.WorkerLine(atMs, worker(fields));
            case "team" -> new TraceLine.WorkspaceLine(atMs, workspace(fields));
            case "class" -> new TraceLine.ClassLine(atMs, workClass(fields));
            case "submit" -> submitLine(atMs, fields);
            case "cancel" -> new TraceLine.CancelLine(atMs, fields.requiredText("id"));
            case "workerLost" -> new TraceLine.WorkerLostLine(atMs, fields.requiredText("id"));
            case "workerBack" -> new TraceLine.WorkerBackLine(atMs, fields.requiredText("id"));
            case "workerFails" ->
                new TraceLine.WorkerFailsLine(atMs, fields.requiredText("id"), fields.requiredBoolean("failing"));
            case "limit" -> new TraceLine.LimitLine(atMs, fields.requiredText("team"), limits(fields));
            case "outcome" ->
                new TraceLine.OutcomeLine(
                        atMs,
                        fields.requiredText("measure"),
                        fields.optionalDouble("atMost"),
                        fields.optionalDouble("atLeast"));
            default -> throw new MalformedTraceException(file, lineNumber, "event", "a known event", event);
        };
    }

    private static Worker worker(LineFields fields) throws MalformedTraceException {
        return new Worker(
                fields.requiredText("id"),
                fields.requiredText("failureDomain"),
                fields.requiredText("rack"),
                resources(fields));
    }

    private static Workspace workspace(LineFields fields) throws MalformedTraceException {
        double share = fields.requiredDouble("share");
        if (!(share >= 0 && share <= 1)) {
            throw fields.malformed("share", "a number from 0 to 1", null);
        }
        return new Workspace(fields.requiredText("id"), share, limits(fields));
    }

    private static Limits limits(LineFields fields) throws MalformedTraceException {
        Double cores = fields.optionalDouble("limitCores");
        return Limits.of(
                cores == null ? OptionalLong.empty() : OptionalLong.of(milliCores(cores)),
                fields.optionalLong("limitMemoryMb"),
                fields.optionalLong("limitAccelerators"));
    }

    private static WorkClass workClass(LineFields fields) throws MalformedTraceException {
        String kind = fields.requiredText("kind");
        for (ClassKind classKind : ClassKind.values()) {
            if (classKind.name().toLowerCase(Locale.ROOT).equals(kind)) {
                return new WorkClass(
                        fields.requiredText("id"),
                        classKind,
                        fields.optionalLong("waitTargetMs"),
                        fields.optionalLong("recoveryTargetMs"),
                        fields.optionalLong("shareTargetMs"));
            }
        }
        throw fields.malformed("kind", "service, batch or gang", null);
    }

    private static TraceLine submitLine(long atMs, LineFields fields) throws MalformedTraceException {
        Resources perTask = resources(fields);
        Job job = new Job(
                fields.requiredText("id"),
                fields.requiredText("team"),
                fields.requiredText("class"),
                (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, fields.requiredLong("tasks"))),
                perTask,
                fields.optionalLong("declaredRunMs").orElse(0),
                atMs);
        Double usedCores = fields.optionalDouble("usedCores");
        long usedMemoryMb = fields.optionalLong("usedMemoryMb").orElse(perTask.memoryMb());
        Resources used = Resources.of(
                usedCores == null ? perTask.milliCores() : milliCores(usedCores), usedMemoryMb, perTask.accelerators());
        return new TraceLine.SubmitLine(atMs, job, fields.optionalLong("actualRunMs"), used);
    }

    private static Resources resources(LineFields fields) throws MalformedTraceException {
        return Resources.of(
                milliCores(fields.requiredDouble("cores")),
                fields.requiredLong("memoryMb"),
                fields.requiredLong("accelerators"));
    }

    private static long milliCores(double cores) {
        return Math.round(cores * Resources.MILLI_CORES_PER_CORE);
    }
}
