package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Bytes that the kernel holds for the connections to a port. Immutable.
 *
 * @param unreadBytes bytes that were received and not read; on the machines of the deployment they
 *     count toward the memory of a process
 * @param unsentBytes bytes that the other side has written and that were not received
 */
record SocketQueues(long unreadBytes, long unsentBytes) {
    /** State of a listening socket, whose queue counts connections. */
    private static final String LISTENS = "0A";

    /**
     * Reads the tables of the kernel.
     *
     * @param port port on which the process listens
     * @return bytes at present
     * @throws IOException if the tables cannot be read
     */
    static SocketQueues read(int port) throws IOException {
        String suffix = ":%04X".formatted(port);
        long unread = 0;
        long unsent = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.trim().split(" +");
                String[] queues = fields[4].split(":");
                if (fields[1].endsWith(suffix) && !LISTENS.equals(fields[3])) {
                    unread += Long.parseLong(queues[1], 16);
                } else if (fields[2].endsWith(suffix)) {
                    unsent += Long.parseLong(queues[0], 16);
                }
            }
        }
        return new SocketQueues(unread, unsent);
    }

    /**
     * Returns the bytes that were not read.
     *
     * @return megabytes
     */
    long unreadMegabytes() {
        return unreadBytes / (1024 * 1024);
    }
}
