package org.siskintiller.integration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Java process of a test, with its output in a file. Signals are sent to its process id only. */
final class ChildProcess implements AutoCloseable {
    private static final long START_MS = 30_000;
    private static final long SIGNAL_MS = 10_000;
    private static final String LISTENING = "listening ";

    private final String name;
    private final Path output;
    private final Process process;

    /** Starts the shaded jar of a module: node, ctl or standin. */
    ChildProcess(Path directory, String name, String module, List<String> arguments) throws IOException {
        this.name = name;
        this.output = directory.resolve(name + ".out");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-jar",
                System.getProperty("siskin.jar." + module)));
        command.addAll(arguments);
        this.process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
    }

    /** Waits until a stand-in prints its address and returns it. */
    String awaitAddress() throws InterruptedException {
        Await.until(name + " listens", START_MS, () -> {
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " ended: " + output());
            }
            return output().lines().anyMatch(line -> line.startsWith(LISTENING));
        });
        return output().lines()
                .filter(line -> line.startsWith(LISTENING))
                .findFirst()
                .orElseThrow()
                .substring(LISTENING.length());
    }

    String output() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            return "";
        }
    }

    CompletableFuture<Process> onExit() {
        return process.onExit();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGKILL and waits until the process exits. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(SIGNAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    void pause() throws IOException, InterruptedException {
        signal("-STOP");
    }

    void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    private void signal(String signal) throws IOException, InterruptedException {
        Process killCommand = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
        if (!killCommand.waitFor(SIGNAL_MS, TimeUnit.MILLISECONDS) || killCommand.exitValue() != 0) {
            throw new IOException("cannot send " + signal + " to " + name);
        }
    }

    /** Waits until the process exits and returns its exit code. */
    int awaitExit(long deadlineMs) throws InterruptedException {
        if (!process.waitFor(deadlineMs, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " did not end within " + deadlineMs + " ms: " + lastLines());
        }
        return process.exitValue();
    }

    String lastLines() {
        List<String> lines = output().lines().toList();
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 12), lines.size()));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
