package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process of the system, started, signalled and ended by a test. */
final class Program {
    private static final List<String> JVM_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-Xmx64m",
            "-Xss256k",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Dio.netty.allocator.type=unpooled",
            "-Dorg.jboss.logging.provider=jdk");

    private final String name;
    private final List<String> command;
    private final Path log;
    private final Map<String, String> environment = new HashMap<>();
    private Process process;

    private Program(String name, List<String> command, Path log) {
        this.name = name;
        this.command = command;
        this.log = log;
    }

    static Program of(String name, String mainClass, Path folder, String... args) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(List.of(args));
        return new Program(name, command, folder.resolve(name + ".log"));
    }

    /** Adds variables to its environment. */
    Program with(Map<String, String> variables) {
        environment.putAll(variables);
        return this;
    }

    Program start() {
        try {
            ProcessBuilder builder = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().putAll(environment);
            process = builder.start();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts, waits for the end and tells the exit code. */
    int runToEnd() {
        start();
        return awaitExit();
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Asks for a graceful shutdown. */
    void terminate() {
        process.destroy();
    }

    void pause() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int awaitExit() {
        try {
            assertWithMessage("%s ends", name)
                    .that(process.waitFor(90, TimeUnit.SECONDS))
                    .isTrue();
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    List<String> logLines() {
        try {
            return Files.exists(log) ? Files.readAllLines(log) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return name;
    }

    long pid() {
        return process.pid();
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
