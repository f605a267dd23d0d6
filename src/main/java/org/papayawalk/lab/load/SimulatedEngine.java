package org.papayawalk.lab.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.papayawalk.core.call.ReportedLoad;

/**
 * Model engine on virtual time. It works in passes: each pass reads a part of the prompts of new
 * requests and gives each request whose prompt is read one event. Not thread-safe.
 */
final class SimulatedEngine {
    /** Tokens of a thousand, the unit of the time for context. */
    private static final double THOUSAND = 1_000;

    /** Pairs of a million, the unit of the time for pairs. */
    private static final double MILLION = 1_000_000;

    /** Nanoseconds of a millisecond. */
    private static final double NANOS = 1_000_000;

    /** Clock. */
    private final VirtualTimeScheduler time;

    /** Speeds and bounds. */
    private final EngineProfile times;

    /** Requests that wait. */
    private final Deque<EngineJob> waiting = new ArrayDeque<>();

    /** Requests that are worked on. */
    private final List<EngineJob> running = new ArrayList<>();

    /** Whether a pass is under way. */
    private boolean busy;

    /** Whether the engine takes requests. */
    private boolean open = true;

    /**
     * Creates an engine without work.
     *
     * @param time clock
     * @param times speeds and bounds
     */
    SimulatedEngine(VirtualTimeScheduler time, EngineProfile times) {
        this.time = time;
        this.times = times;
    }

    /**
     * Takes a request.
     *
     * @param job request
     * @return false if there is no room, or the engine is closed
     */
    boolean submit(EngineJob job) {
        boolean full = waiting.size() + running.size() >= times.slots() + times.queue();
        if (full || !open) {
            return false;
        }
        waiting.add(job);
        if (!busy) {
            busy = true;
            time.after(millis(times.firstMillis()), this::pass);
        }
        return true;
    }

    /**
     * Opens or closes the engine for new requests; what it has goes on.
     *
     * @param takes whether it takes requests
     */
    void open(boolean takes) {
        open = takes;
    }

    /**
     * Returns the load that answers carry.
     *
     * @return load
     */
    ReportedLoad load() {
        return new ReportedLoad(running.size(), waiting.size(), times.slots());
    }

    /** Begins a pass. */
    private void pass() {
        while (running.size() < times.slots() && !waiting.isEmpty()) {
            running.add(waiting.remove());
        }
        if (running.isEmpty()) {
            busy = false;
            return;
        }
        List<EngineJob> writers = running.stream().filter(EngineJob::writes).toList();
        int steps = writers.isEmpty() ? 1 : times.stepsPerPass();
        double context = writers.stream().mapToInt(EngineJob::context).sum() / THOUSAND;
        double step =
                times.stepMillis()
                        + times.sequenceMillis() * writers.size()
                        + times.contextMillis() * context;
        double length = steps * step + read(steps * times.chunkTokens());
        List<EngineJob> writing = running.stream().filter(EngineJob::writes).toList();
        time.after(millis(length), () -> passEnds(writing, steps));
    }

    /**
     * Reads prompts.
     *
     * @param most tokens that may be read
     * @return time that it takes, in milliseconds
     */
    private double read(int most) {
        int left = most;
        double length = 0;
        for (EngineJob j : running) {
            if (j.writes() || left == 0) {
                continue;
            }
            double before = j.context();
            int part = j.read(left);
            left -= part;
            double pairs = part * (before + part / 2.0);
            length += part / times.promptTokensPerMilli() + times.pairMillis() * pairs / MILLION;
        }
        return length;
    }

    /**
     * Ends a pass.
     *
     * @param writers requests that wrote in it
     * @param steps steps that it had
     */
    private void passEnds(List<EngineJob> writers, int steps) {
        for (EngineJob j : writers) {
            if (j.write(steps)) {
                running.remove(j);
            }
        }
        pass();
    }

    /**
     * Converts a length of time.
     *
     * @param millis milliseconds
     * @return length of time
     */
    private static Duration millis(double millis) {
        return Duration.ofNanos((long) (millis * NANOS));
    }
}
