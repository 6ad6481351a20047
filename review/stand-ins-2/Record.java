import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a test: what was sent, answered and run, each line with the milliseconds since the test began. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%6d ms  %s%n", nowMs(), String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
