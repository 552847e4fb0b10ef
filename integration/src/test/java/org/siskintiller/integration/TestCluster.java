package org.siskintiller.integration;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

/** Log, companions, backend servers, callers and operators of a test, each a process. Kills all of them on close. */
final class TestCluster implements AutoCloseable {
    static final String KEYED = "lookup";
    static final String NOT_IDEMPOTENT = "registry";

    private static final int SLOTS = 48;
    private static final int START_ATTEMPTS = 5;
    private static final int EXIT_BIND = 4;
    private static final long READY_TIMEOUT_MS = 40_000;
    private static final long CTL_TIMEOUT_MS = 60_000;

    private final Path directory;
    private final List<ChildProcess> processes = new ArrayList<>();
    private final List<TestInstance> instances = new ArrayList<>();
    private final String log;
    private int startedProcesses;

    TestCluster(Path directory) throws IOException, InterruptedException {
        this.directory = directory;
        this.log = start("log", "standin", "log").awaitAddress();
    }

    /** Result of an operator's command. */
    record CtlResult(int exitCode, JsonNode json) {}

    synchronized ChildProcess start(String name, String module, String... arguments) throws IOException {
        ChildProcess process = new ChildProcess(directory, name + "-" + startedProcesses++, module, List.of(arguments));
        processes.add(process);
        return process;
    }

    String log() {
        return log;
    }

    /** Returns all instances that were started, also those that ended. */
    List<TestInstance> all() {
        return List.copyOf(instances);
    }

    /** Starts instances in failure domains 0 to 2 in turn, publishes the configuration and waits until they serve. */
    List<TestInstance> startInstances(String service, int count) throws IOException, InterruptedException {
        List<TestInstance> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            started.add(startInstance("instance-" + i, "domain-" + i % 3, service, List.of()));
        }
        Path config = directory.resolve("cluster.ini");
        try (var resource = TestCluster.class.getResourceAsStream("/cluster.ini")) {
            Files.write(config, resource.readAllBytes());
        }
        CtlResult published = ctl("config", "publish", "--operator", "tester", config.toString());
        if (published.exitCode() != 0) {
            throw new AssertionError("not published: " + published);
        }
        awaitServing(started);
        return started;
    }

    /** Starts a companion on free ports and its backend server. Extra lines go to the end of the settings. */
    TestInstance startInstance(String name, String domain, String service, List<String> settings)
            throws IOException, InterruptedException {
        for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
            TestInstance instance = tryStart(name, domain, service, freeAddress(), freeAddress(), settings);
            if (instance != null) {
                return instance;
            }
        }
        throw new IOException("no free port for " + name);
    }

    private TestInstance tryStart(
            String name, String domain, String service, String http, String peer, List<String> settings)
            throws IOException, InterruptedException {
        List<String> lines = new ArrayList<>(List.of(
                "[companion]",
                "instance = " + name,
                "failure_domain = " + domain,
                "http = " + http,
                "peer = " + peer,
                "[log]",
                "address = " + log));
        lines.addAll(settings);
        Path file = directory.resolve(name + "-" + instances.size() + ".ini");
        Files.write(file, lines);
        ChildProcess companion = start(name, "node", "--settings", file.toString());
        Await.until(name + " responds", READY_TIMEOUT_MS, () -> !companion.isAlive() || status(http) != null);
        if (!companion.isAlive()) {
            int exitCode = companion.awaitExit(0);
            if (exitCode == EXIT_BIND) {
                return null;
            }
            throw new IOException(name + " ended with " + exitCode + ": " + companion.lastLines());
        }
        Path journal = directory.resolve("journal-" + instances.size() + ".jsonl");
        ChildProcess backend = start(
                name + "-backend",
                "standin",
                "backend",
                "--service",
                service,
                "--companion",
                http,
                "--checks-fence",
                "--service-time",
                "fixed:20",
                "--journal",
                journal.toString());
        TestInstance instance = new TestInstance(
                name, domain, service, http, peer, companion, backend, backend.awaitAddress(), journal);
        instances.add(instance);
        return instance;
    }

    /** Binds and closes sockets to find a port that is free for TCP and UDP. */
    static String freeAddress() throws IOException {
        for (int attempt = 0; attempt < START_ATTEMPTS; attempt++) {
            try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket udp = new DatagramSocket(null)) {
                udp.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), tcp.getLocalPort()));
                return "127.0.0.1:" + tcp.getLocalPort();
            } catch (java.net.BindException e) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    static JsonNode status(String http) throws IOException, InterruptedException {
        return Http.getJson(http, "/_siskin/status");
    }

    /** Waits until each instance holds its lease and owns slots, and all slots of the service are owned. */
    void awaitServing(List<TestInstance> instances) throws InterruptedException {
        Await.until("all slots are owned", READY_TIMEOUT_MS, () -> {
            int owned = 0;
            for (TestInstance instance : instances) {
                JsonNode status = status(instance.http());
                int slots = status.path("ownedSlots").asInt();
                if (slots == 0 || !status.path("lease").path("held").asBoolean()) {
                    return false;
                }
                owned += slots;
            }
            return owned == SLOTS;
        });
    }

    CtlResult ctl(String... arguments) throws IOException, InterruptedException {
        return finishCtl(startCtl(arguments));
    }

    ChildProcess startCtl(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(arguments));
        command.addAll(List.of("--log", log, "--json"));
        return start("ctl", "ctl", command.toArray(String[]::new));
    }

    static CtlResult finishCtl(ChildProcess ctl) throws IOException, InterruptedException {
        int exitCode = ctl.awaitExit(CTL_TIMEOUT_MS);
        return new CtlResult(exitCode, Http.JSON.readTree(ctl.output()));
    }

    /** Starts a caller with one stream, whose settings are the given lines. */
    CallerRun startCaller(List<TestInstance> targets, String... streamLines) throws IOException, InterruptedException {
        String addresses =
                String.join(",", targets.stream().map(TestInstance::http).toList());
        Path mix = directory.resolve("mix-" + startedProcesses + ".ini");
        Path journal = directory.resolve("caller-" + startedProcesses + ".jsonl");
        List<String> lines = new ArrayList<>(List.of("[caller]", "duration_ms = 120000", "[stream load]"));
        lines.addAll(List.of(streamLines));
        Files.write(mix, lines);
        ChildProcess caller = start(
                "caller",
                "standin",
                "caller",
                "--mix",
                mix.toString(),
                "--target",
                addresses,
                "--journal",
                journal.toString());
        return new CallerRun(caller, caller.awaitAddress(), journal);
    }

    /** Returns keys of slots that the instance serves at the moment. */
    List<String> keysOf(TestInstance owner, int count) throws IOException, InterruptedException {
        Set<Integer> served = new HashSet<>();
        status(owner.http())
                .path("slots")
                .forEach(slot -> served.add(slot.path("slot").asInt()));
        List<String> keys = new ArrayList<>();
        for (int i = 0; keys.size() < count && !served.isEmpty(); i++) {
            String path = "/_siskin/owner?service=" + owner.service() + "&key=key-" + i;
            if (served.contains(Http.getJson(owner.http(), path).path("slot").asInt())) {
                keys.add("key-" + i);
            }
        }
        return keys;
    }

    @Override
    public synchronized void close() {
        processes.forEach(ChildProcess::close);
        CompletableFuture.allOf(processes.stream().map(ChildProcess::onExit).toArray(CompletableFuture[]::new))
                .join();
    }
}
