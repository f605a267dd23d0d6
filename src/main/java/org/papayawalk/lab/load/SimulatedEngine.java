package org.papayawalk.lab.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.papayawalk.core.call.ReportedLoad;

/**
 * Simulated model engine. It works in passes: each pass reads a part of the prompts of new requests
 * and writes one event of each request whose prompt has been read. Not thread-safe.
 */
final class SimulatedEngine {
    /** Unit of {@link EngineProfile#stepMillisPerThousandTokens()}, in tokens. */
    private static final double CONTEXT_UNIT_TOKENS = 1_000;

    /** Unit of {@link EngineProfile#millisPerMillionPairs()}, in pairs of tokens. */
    private static final double PAIR_UNIT = 1_000_000;

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final VirtualTimeScheduler scheduler;

    private final EngineProfile profile;

    private final Deque<EngineJob> waiting = new ArrayDeque<>();

    private final List<EngineJob> running = new ArrayList<>();

    /** Whether the end of a pass, or the first pass after an idle time, is scheduled. */
    private boolean passScheduled;

    /** Whether new requests are accepted; false during an outage. */
    private boolean accepting = true;

    /**
     * Creates an idle engine.
     *
     * @param scheduler virtual time
     * @param profile speed and capacity
     */
    SimulatedEngine(VirtualTimeScheduler scheduler, EngineProfile profile) {
        this.scheduler = scheduler;
        this.profile = profile;
    }

    /**
     * Adds a request to the queue.
     *
     * @param job request
     * @return false if the request is rejected because the queue is full or during an outage
     */
    boolean submit(EngineJob job) {
        boolean full = waiting.size() + running.size() >= profile.slots() + profile.queueCapacity();
        if (full || !accepting) {
            return false;
        }
        waiting.add(job);
        if (!passScheduled) {
            passScheduled = true;
            scheduler.scheduleAfter(toDuration(profile.wakeUpMillis()), this::startPass);
        }
        return true;
    }

    /**
     * Starts or ends an outage. Requests in the queue and in progress are not affected.
     *
     * @param accepting whether new requests are accepted
     */
    void setAccepting(boolean accepting) {
        this.accepting = accepting;
    }

    /**
     * Returns the load that the engine reports with its answers.
     *
     * @return present load
     */
    ReportedLoad load() {
        return new ReportedLoad(running.size(), waiting.size(), profile.slots());
    }

    private void startPass() {
        while (running.size() < profile.slots() && !waiting.isEmpty()) {
            running.add(waiting.remove());
        }
        if (running.isEmpty()) {
            passScheduled = false;
            return;
        }
        List<EngineJob> writers = running.stream().filter(EngineJob::isPromptRead).toList();
        int steps = writers.isEmpty() ? 1 : profile.stepsPerPass();
        double thousandTokens =
                writers.stream().mapToInt(EngineJob::contextTokens).sum() / CONTEXT_UNIT_TOKENS;
        double stepMillis =
                profile.stepMillis()
                        + profile.stepMillisPerSequence() * writers.size()
                        + profile.stepMillisPerThousandTokens() * thousandTokens;
        double passMillis = steps * stepMillis + readPrompts(steps * profile.promptTokensPerStep());
        List<EngineJob> passWriters = running.stream().filter(EngineJob::isPromptRead).toList();
        scheduler.scheduleAfter(toDuration(passMillis), () -> endPass(passWriters, steps));
    }

    // Reads prompts in the order of arrival; returns the time that it takes, in milliseconds.
    private double readPrompts(int maxTokens) {
        int left = maxTokens;
        double readMillis = 0;
        for (EngineJob j : running) {
            if (j.isPromptRead() || left == 0) {
                continue;
            }
            double contextTokens = j.contextTokens();
            int count = j.readPrompt(left);
            left -= count;
            double pairs = count * (contextTokens + count / 2.0);
            readMillis +=
                    count / profile.promptTokensPerMilli()
                            + profile.millisPerMillionPairs() * pairs / PAIR_UNIT;
        }
        return readMillis;
    }

    private void endPass(List<EngineJob> writers, int steps) {
        for (EngineJob j : writers) {
            if (j.writeEvent(steps)) {
                running.remove(j);
            }
        }
        startPass();
    }

    private static Duration toDuration(double millis) {
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }
}
