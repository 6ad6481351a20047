import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, with milliseconds since the start. */
final class Trace implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintStream out;

    Trace(Path file) {
        try {
            out = new PrintStream(file.toFile(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void add(String line) {
        out.printf("%8d %s%n", nowMs(), line);
        out.flush();
    }

    /** Writes a line that is shown as well. */
    void say(String line) {
        add(line);
        System.out.printf("%8d %s%n", nowMs(), line);
    }

    @Override
    public void close() {
        out.close();
    }
}
