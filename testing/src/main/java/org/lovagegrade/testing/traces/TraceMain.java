package org.lovagegrade.testing.traces;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lovagegrade.testing.FakeOptions;

/** The program {@code make-trace}: writes a seeded trace. */
public final class TraceMain {
    private static final int EXIT_BAD_USAGE = 2;
    private static final int DEFAULT_SEED = 1;

    private TraceMain() {}

    /**
     * Writes one trace.
     *
     * @param args {@code --site norte --scenario peak --seed 1 --folder traces}
     * @throws IOException if the folder can't be written
     */
    public static void main(String[] args) throws IOException {
        FakeOptions options = FakeOptions.parse(args, "site", "scenario", "seed", "folder");
        Site site = Site.named(options.text("site", "")).orElse(null);
        String scenario = options.text("scenario", "");
        if (site == null || !Scenario.all().containsKey(scenario)) {
            System.err.println("expected: --site norte, tiangge or large and --scenario one of " + Scenario.names());
            System.exit(EXIT_BAD_USAGE);
        }
        TraceBuilder trace = new TraceBuilder(site, options.number("seed", DEFAULT_SEED));
        Scenario.all().get(scenario).fill(trace);
        Path folder = Path.of(options.text("folder", "traces"));
        Files.createDirectories(folder);
        Files.write(folder.resolve(Scenario.fileName(site, scenario)), trace.render());
    }
}
