package org.papayawalk.daemon.swarm;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.papayawalk.daemon.ControlThread;

/**
 * Chunk requests of peers that wait for a chunk which this host is fetching.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class PendingChunkQueries {
    /** Maximum time that a request waits. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final ControlThread thread;

    /** Responses to send, by index of the chunk that they wait for. */
    private final Map<Integer, List<Runnable>> waiting = new HashMap<>();

    /**
     * Creates an empty set of requests.
     *
     * @param thread weights thread
     */
    PendingChunkQueries(ControlThread thread) {
        this.thread = thread;
    }

    /**
     * Answers a request at once, or once its chunk has been fetched.
     *
     * @param cached version whose chunks are cached
     * @param query request
     * @param beingFetched whether this host is fetching the chunk
     * @param reply receives the response on the weights thread
     */
    void answerOrWait(
            CachedVersion cached,
            ChunkQuery query,
            boolean beingFetched,
            Consumer<ChunkResponse> reply) {
        Runnable answer =
                () -> reply.accept(cached.respond(query.digest(), query.index(), beingFetched));
        if (beingFetched && cached.chunk(query.digest(), query.index()).isEmpty()) {
            enqueue(query.index(), answer);
        } else {
            answer.run();
        }
    }

    // Runs the action once: when the chunk arrives or when the maximum wait has passed.
    private void enqueue(int index, Runnable action) {
        waiting.computeIfAbsent(index, i -> new ArrayList<>()).add(action);
        thread.schedule(
                MAX_WAIT,
                () -> {
                    List<Runnable> list = waiting.get(index);
                    if (list != null && list.remove(action)) {
                        action.run();
                    }
                });
    }

    /**
     * Answers the requests that wait for a chunk.
     *
     * @param index index of the chunk
     */
    void answerWaiting(int index) {
        List<Runnable> list = waiting.remove(index);
        if (list != null) {
            list.forEach(Runnable::run);
        }
    }

    /** Answers all waiting requests. */
    void answerAllWaiting() {
        new ArrayList<>(waiting.keySet()).forEach(this::answerWaiting);
    }
}
