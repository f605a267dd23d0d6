package org.papayawalk.daemon.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.papayawalk.daemon.ControlThread;

/**
 * Requests of peers that wait for a chunk that is being fetched. Not thread-safe: confined to the
 * weights thread.
 */
final class ParkedRequests {
    /** Longest time that a request waits. */
    private static final Duration LIMIT = Duration.ofSeconds(1);

    /** Weights thread. */
    private final ControlThread thread;

    /** Waiting requests by chunk. */
    private final Map<Integer, List<Runnable>> waiting = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param thread weights thread
     */
    ParkedRequests(ControlThread thread) {
        this.thread = thread;
    }

    /**
     * Answers a request, now or when its chunk has come.
     *
     * @param held chunks held
     * @param query request
     * @param coming whether the chunk is being fetched
     * @param reply takes the answer
     */
    void answer(HeldVersion held, ChunkQuery query, boolean coming, Consumer<ChunkAnswer> reply) {
        Runnable answer = () -> reply.accept(held.answer(query.digest(), query.index(), coming));
        if (coming && held.chunk(query.digest(), query.index()).isEmpty()) {
            park(query.index(), answer);
        } else {
            answer.run();
        }
    }

    /**
     * Lets a request wait for a chunk.
     *
     * @param index index of the chunk
     * @param resume answers the request; runs once
     */
    private void park(int index, Runnable resume) {
        waiting.computeIfAbsent(index, i -> new ArrayList<>()).add(resume);
        thread.schedule(
                LIMIT,
                () -> {
                    List<Runnable> list = waiting.get(index);
                    if (list != null && list.remove(resume)) {
                        resume.run();
                    }
                });
    }

    /**
     * Answers the requests that wait for a chunk.
     *
     * @param index index of the chunk
     */
    void release(int index) {
        List<Runnable> list = waiting.remove(index);
        if (list != null) {
            list.forEach(Runnable::run);
        }
    }

    /** Answers all requests that wait. */
    void releaseAll() {
        new ArrayList<>(waiting.keySet()).forEach(this::release);
    }
}
