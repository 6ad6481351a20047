package org.lovagegrade.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lovagegrade.core.Decision;

/** Writes decisions as JSON lines; equal decisions give byte-identical output. */
final class DecisionWriter implements AutoCloseable {
    private final Writer writer;
    private final JsonGenerator json;

    private DecisionWriter(Writer writer) throws IOException {
        this.writer = writer;
        this.json = new JsonFactory().createGenerator(writer);
        this.json.setRootValueSeparator(null);
    }

    static DecisionWriter to(Path path) throws IOException {
        return new DecisionWriter(Files.newBufferedWriter(path));
    }

    void write(long atMs, Decision decision) {
        boolean isAboutJob = decision.task() == Decision.WHOLE_JOB;
        try {
            json.writeStartObject();
            json.writeNumberField("atMs", atMs);
            json.writeStringField("action", decision.action().text());
            json.writeStringField("job", decision.job());
            if (isAboutJob) {
                json.writeNullField("task");
                json.writeNullField("attempt");
                json.writeNullField("worker");
            } else {
                json.writeNumberField("task", decision.task());
                json.writeNumberField("attempt", decision.attempt());
                json.writeStringField("worker", decision.worker());
            }
            json.writeStringField("reason", decision.reason().text());
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        json.close();
        writer.close();
    }
}
