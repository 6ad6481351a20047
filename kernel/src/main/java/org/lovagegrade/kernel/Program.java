package org.lovagegrade.kernel;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.settings.Settings;
import org.lovagegrade.kernel.settings.SettingsException;

/**
 * The frame of a daemon: reads its settings, starts its kernel and stops it on a signal.
 *
 * <p>Example: {@code Program.named("lovagegrade-entry").run(args, (settings, line) -> kernelFrom(settings));}
 */
public final class Program {
    /** The exit code for bad usage or bad settings. */
    public static final int EXIT_BAD_USAGE = 2;

    /** The exit code for a broken invariant. */
    public static final int EXIT_BROKEN = 70;

    private final String name;
    private final Options options = new Options();

    private Program(String name) {
        this.name = name;
        options.addOption(null, "settings", true, "the settings file, JSON with comments");
        options.addOption(null, "check-settings", false, "check the settings file and exit");
        options.addOption(null, "help", false, "show this help");
    }

    /** Builds the services of a daemon from its settings. */
    @FunctionalInterface
    public interface Assembly {
        /**
         * Builds the kernel; must call {@link Settings#finish()} before it takes any resource.
         *
         * @param settings the settings, not yet checked
         * @param line the parsed command line
         * @return the kernel, or null if the settings were only to be checked
         * @throws SettingsException if the settings have faults
         */
        Kernel assemble(Settings settings, CommandLine line) throws SettingsException;
    }

    /**
     * Creates the frame.
     *
     * @param name the name of the program
     * @return the frame
     */
    public static Program named(String name) {
        return new Program(name);
    }

    /**
     * Adds a flag to the command line.
     *
     * @param flag the long name
     * @param description what it does
     * @return this frame
     */
    public Program withFlag(String flag, String description) {
        options.addOption(null, flag, false, description);
        return this;
    }

    /**
     * Runs the daemon until it gets a signal to stop; exits the process on bad usage.
     *
     * @param args the command line
     * @param assembly builds the services
     */
    public void run(String[] args, Assembly assembly) {
        stopOnBrokenInvariant();
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help") || !line.hasOption("settings")) {
                CommandHelp.print(name + " --settings FILE", "", options);
                System.exit(line.hasOption("help") ? 0 : EXIT_BAD_USAGE);
            }
            Kernel kernel = assembly.assemble(Settings.read(Path.of(line.getOptionValue("settings"))), line);
            if (kernel == null) {
                return;
            }
            runUntilSignal(name, kernel);
        } catch (ParseException | SettingsException e) {
            System.err.println(name + ": " + e.getMessage());
            System.exit(EXIT_BAD_USAGE);
        }
    }

    /**
     * Starts a kernel, and stops it on a signal to end.
     *
     * @param name the name of the program, for the log
     * @param kernel the services
     */
    @SuppressWarnings("ShutdownHook") // the frame of the process is the one place that owns this hook
    public static void runUntilSignal(String name, Kernel kernel) {
        CountDownLatch stopped = new CountDownLatch(1);
        kernel.start();
        Log.event("started").with("program", name).info();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            Log.event("stopping").with("program", name).info();
                            kernel.stop();
                            Log.event("stopped").with("program", name).info();
                            Log.flush();
                            stopped.countDown();
                        },
                        "shutdown"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** From now on an error that nothing handles ends the process with {@link #EXIT_BROKEN}. */
    public static void stopOnBrokenInvariant() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            Log.event("brokenInvariant")
                    .with("thread", thread.getName())
                    .with("error", error.toString())
                    .error();
            Log.flush();
            error.printStackTrace();
            Runtime.getRuntime().halt(EXIT_BROKEN);
        });
    }
}
