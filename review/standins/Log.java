package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, each line with the seconds since the start. */
final class Log implements AutoCloseable {
    private final PrintWriter out;
    private final long startedNs = System.nanoTime();

    Log(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The time since the start, in milliseconds. */
    long nowMs() {
        return (System.nanoTime() - startedNs) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%8.3f  %s%n", nowMs() / 1_000.0, text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
