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
 * The main program of a daemon: parses the command line, reads the settings, starts the services and stops them on a
 * termination signal.
 *
 * <p>Example: {@code Program.named("lovagegrade-entry").run(args, (settings, line) -> kernelFrom(settings));}
 */
public final class Program {
    /** The exit code for an invalid command line or invalid settings. */
    public static final int EXIT_BAD_USAGE = 2;

    /** The exit code after an uncaught exception, which is treated as a violated invariant. */
    public static final int EXIT_INTERNAL_ERROR = 70;

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
         * Builds the kernel; must call {@link Settings#throwIfInvalid()} before it acquires any resource.
         *
         * @param settings the settings, not yet validated
         * @param line the parsed command line
         * @return the kernel, or null if the command line asks only for a check of the settings
         * @throws SettingsException if the settings are invalid
         */
        Kernel assemble(Settings settings, CommandLine line) throws SettingsException;
    }

    /**
     * Creates a program with the options {@code --settings}, {@code --check-settings} and {@code --help}.
     *
     * @param name the name of the program
     * @return the program
     */
    public static Program named(String name) {
        return new Program(name);
    }

    /**
     * Adds a flag to the command line.
     *
     * @param flag the long name, without the leading dashes
     * @param description what it does, for the help text
     * @return this program
     */
    public Program withFlag(String flag, String description) {
        options.addOption(null, flag, false, description);
        return this;
    }

    /**
     * Runs the daemon until a termination signal arrives; exits the process with {@link #EXIT_BAD_USAGE} if the command
     * line or the settings are invalid.
     *
     * @param args the command line
     * @param assembly builds the services
     */
    public void run(String[] args, Assembly assembly) {
        haltOnUncaughtException();
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
     * Starts a kernel, blocks until a termination signal arrives, and stops the kernel.
     *
     * @param name the name of the program, for the log
     * @param kernel the services
     */
    @SuppressWarnings("ShutdownHook") // the only place in a process that registers a shutdown hook
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

    /** Installs a handler that ends the process with {@link #EXIT_INTERNAL_ERROR} on any uncaught exception. */
    public static void haltOnUncaughtException() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            Log.event("brokenInvariant")
                    .with("thread", thread.getName())
                    .with("error", error.toString())
                    .error();
            Log.flush();
            error.printStackTrace();
            Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
        });
    }
}
