package org.papayawalk.log;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to standard output on a separate thread. The queue of lines is bounded: when it
 * is full, lines are dropped and counted, so that logging never blocks the caller. The number of
 * dropped lines is logged with the next line written. Thread-safe.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    private static final int QUEUE_CAPACITY_LINES = 2000;

    // Longest wait in close() for the queue to become empty.
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private static final long CLOSE_POLL_INTERVAL_MILLIS = 10;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);

    // Lines dropped since their number was last logged.
    private final AtomicLong droppedLines = new AtomicLong();

    // Standard output at creation.
    private final PrintStream out = System.out;

    /**
     * Creates a writer and starts its thread. Called by tinylog.
     *
     * @param properties settings of the writer, such as the format of a line
     */
    public BoundedConsoleWriter(Map<String, String> properties) {
        super(properties);
        Thread thread = new Thread(this::writeQueuedLines, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void write(LogEntry entry) {
        if (!queue.offer(render(entry))) {
            droppedLines.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        // The thread flushes after each batch.
    }

    @Override
    public void close() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
        while (!queue.isEmpty() && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_INTERVAL_MILLIS);
        }
    }

    // Joins all lines that are queued at a time into one write.
    private void writeQueuedLines() {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.setLength(0);
                batch.append(queue.take());
                for (String l = queue.poll(); l != null; l = queue.poll()) {
                    batch.append(l);
                }
                long dropped = droppedLines.getAndSet(0);
                if (dropped > 0) {
                    batch.append("event=log-lines-dropped count=").append(dropped).append('\n');
                }
                out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            droppedLines.incrementAndGet();
        }
    }
}
