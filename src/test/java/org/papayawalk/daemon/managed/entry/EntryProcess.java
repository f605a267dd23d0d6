package org.papayawalk.daemon.managed.entry;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.FreePort;

/**
 * Entry in a process of its own on loopback, with a small heap and few descriptors. Confined to one
 * thread.
 */
final class EntryProcess implements AutoCloseable {
    private static final String IP = "127.0.0.77";

    private static final long STOP_SECONDS = 10;

    private final int port;

    private final Path settings;

    private final Process process;

    /**
     * Starts the process and waits until the entry is ready.
     *
     * @param store store that it reads
     * @param heapMegabytes largest heap
     * @param descriptors number of descriptors that the process may open
     * @param memoryMegabytes memory of the machine, as its settings state it
     * @throws IOException if no port is free, or the process cannot be started
     */
    EntryProcess(FakeStore store, int heapMegabytes, int descriptors, int memoryMegabytes)
            throws IOException {
        port = FreePort.find();
        settings = Files.createTempFile("entry", ".json");
        int readyPort = FreePort.find();
        String text =
                """
                {"nodeName":"front-1","ip":"%s","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":[],
                 "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
                 "provider":{"address":"%s"},"bounds":{"graceS":8,"budgetSlack":500},
                 "limits":{"linkMbps":1000,"memoryMb":%d,"maxFds":%d}}
                """
                        .formatted(
                                IP,
                                FreePort.find(),
                                port,
                                readyPort,
                                store.address(),
                                memoryMegabytes,
                                descriptors);
        Files.write(settings, text.getBytes(StandardCharsets.UTF_8));
        String command =
                "ulimit -n %d && exec java -Xms14m -Xmn5m -Xmx%dm -Xss256k -XX:+UseSerialGC %s %s"
                        .formatted(
                                descriptors,
                                heapMegabytes,
                                "-XX:TieredStopAtLevel=1 -XX:+ExitOnOutOfMemoryError"
                                        + " -Dtinylog.configuration=tinylog-site.properties"
                                        + " -Dio.netty.allocator.type=unpooled"
                                        + " -Dio.netty.noPreferDirect=true",
                                "org.papayawalk.daemon.managed.ManagedMain entry");
        ProcessBuilder builder = new ProcessBuilder("bash", "-c", command);
        builder.environment().put(ManagedSettingsCodec.FILE_VARIABLE, settings.toString());
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        builder.redirectOutput(new File("/dev/null"));
        builder.redirectErrorStream(true);
        process = builder.start();
        ManagedEntryFixture.await(() -> TestCaller.get(readyPort, "/readiness").status() == 200);
    }

    /**
     * Returns the port for callers.
     *
     * @return port on 127.0.0.1
     */
    int port() {
        return port;
    }

    /**
     * Returns whether the process lives.
     *
     * @return false if it has ended
     */
    boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns how the process has ended.
     *
     * @return text for a failed check; code 3 means out of memory
     */
    String end() {
        return process.isAlive()
                ? "the process lives"
                : "the process has ended with code " + process.exitValue();
    }

    /**
     * Returns the resident memory of the process.
     *
     * @return megabytes at its peak
     * @throws IOException if the process has ended
     */
    long peakResidentMegabytes() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"));
        String peak = lines.stream().filter(l -> l.startsWith("VmHWM:")).findFirst().orElseThrow();
        return Long.parseLong(peak.replaceAll("[^0-9]", "")) / 1024;
    }

    /**
     * Returns the number of open descriptors of the process.
     *
     * @return descriptors
     * @throws IOException if the process has ended
     */
    long descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return open.count();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(settings);
    }
}
