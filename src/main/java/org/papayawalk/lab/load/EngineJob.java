package org.papayawalk.lab.load;

/** Request at a model engine. Not thread-safe. */
final class EngineJob {
    /** Tokens of the prompt. */
    private final int promptTokens;

    /** Told of the first event. */
    private final Runnable first;

    /** Told of the end. */
    private final Runnable done;

    /** Prompt tokens read. */
    private int read;

    /** Events that are left to write. */
    private int eventsLeft;

    /** Tokens written. */
    private int written;

    /**
     * Creates a request that was not begun.
     *
     * @param promptTokens tokens of the prompt
     * @param events events of the answer
     * @param first told of the first event
     * @param done told of the end
     */
    EngineJob(int promptTokens, int events, Runnable first, Runnable done) {
        this.promptTokens = promptTokens;
        this.eventsLeft = events;
        this.first = first;
        this.done = done;
    }

    /**
     * Tells whether the prompt is read.
     *
     * @return true if the request writes
     */
    boolean writes() {
        return read >= promptTokens;
    }

    /**
     * Returns the tokens that the engine keeps for it.
     *
     * @return tokens read and written
     */
    int context() {
        return read + written;
    }

    /**
     * Reads a part of the prompt.
     *
     * @param most tokens that may be read
     * @return tokens read
     */
    int read(int most) {
        int part = Math.min(most, promptTokens - read);
        read += part;
        return part;
    }

    /**
     * Writes an event.
     *
     * @param tokens tokens of the event
     * @return true if it was the last one
     */
    boolean write(int tokens) {
        if (written == 0) {
            first.run();
        }
        written += tokens;
        eventsLeft--;
        if (eventsLeft > 0) {
            return false;
        }
        done.run();
        return true;
    }
}
