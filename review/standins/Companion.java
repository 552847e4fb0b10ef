import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The project's companion as a separate process, started with the run line of deploy/system.toml. */
final class Companion {
    /** Ports are the same on all machines. */
    static final int OUTBOUND = Ports.free();

    static final int READY = Ports.free();
    static final int CONTROL = Ports.free();
    static final int INBOUND = Ports.free();
    static final int INTERNAL = Ports.free();

    private final Path repository;
    private final Path settings;
    private final Path log;
    private final Record record;
    final String name;
    private Process process;

    Companion(Path repository, Path directory, String name, String settingsText, Record record) throws IOException {
        this.repository = repository;
        this.name = name;
        this.record = record;
        this.settings = directory.resolve(name + ".toml");
        this.log = directory.resolve(name + ".log");
        Files.writeString(settings, settingsText);
    }

    void start() throws IOException {
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("SISKINTILLER_BOOT", settings.toString());
        builder.directory(repository.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        record.line("process " + name + " started, pid " + process.pid());
    }

    /** Sends a signal to this process, for example TERM or KILL. */
    void signal(String signal) throws Exception {
        record.line("process " + name + " gets SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
        record.line("process " + name + (ended ? " ended with " + process.exitValue() : " still runs"));
        return ended;
    }

    void destroy() throws InterruptedException {
        if (alive()) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
