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
 * Writes log lines to standard output from a thread of its own. A line that finds the queue full is
 * dropped and counted, so that logging never holds up the caller. Thread-safe.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {
    /** Lines that may wait to be written. */
    private static final int MAX_WAITING = 2000;

    /** Longest wait for the queue to empty at the end. */
    private static final long CLOSE_LIMIT_MILLIS = 300;

    /** Pause between looks at the queue at the end. */
    private static final long CLOSE_LOOK_MILLIS = 10;

    /** Lines that wait. */
    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_WAITING);

    /** Lines dropped since the last report of it. */
    private final AtomicLong dropped = new AtomicLong();

    /** Standard output. */
    private final PrintStream out = System.out;

    /**
     * Starts the thread.
     *
     * @param properties settings of the writer
     */
    public BoundedConsoleWriter(Map<String, String> properties) {
        super(properties);
        Thread thread = new Thread(this::run, "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void write(LogEntry entry) {
        if (!lines.offer(render(entry))) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        // The thread writes as fast as the output takes the lines.
    }

    @Override
    public void close() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_LIMIT_MILLIS);
        while (!lines.isEmpty() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(CLOSE_LOOK_MILLIS);
        }
    }

    /** Writes lines, several at once if several wait. */
    private void run() {
        StringBuilder batch = new StringBuilder();
        try {
            while (true) {
                batch.setLength(0);
                batch.append(lines.take());
                for (String l = lines.poll(); l != null; l = lines.poll()) {
                    batch.append(l);
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    batch.append("event=log-lines-dropped count=").append(lost).append('\n');
                }
                out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            dropped.incrementAndGet();
        }
    }
}
