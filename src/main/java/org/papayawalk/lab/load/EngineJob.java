package org.papayawalk.lab.load;

/** Request at a simulated engine. Not thread-safe. */
final class EngineJob {
    private final int promptTokens;

    private final Runnable onFirstEvent;

    private final Runnable onEnd;

    /** Tokens of the prompt that have been read. */
    private int readTokens;

    private int remainingEvents;

    /** Tokens of the answer that have been written. */
    private int writtenTokens;

    /**
     * Creates a request of which nothing has been processed.
     *
     * @param promptTokens length of the prompt, in tokens
     * @param events number of events of the answer
     * @param onFirstEvent runs when the first event is written
     * @param onEnd runs when the last event is written
     */
    EngineJob(int promptTokens, int events, Runnable onFirstEvent, Runnable onEnd) {
        this.promptTokens = promptTokens;
        this.remainingEvents = events;
        this.onFirstEvent = onFirstEvent;
        this.onEnd = onEnd;
    }

    /**
     * Tells whether the whole prompt has been read, so that events can be written.
     *
     * @return true if no prompt tokens are left
     */
    boolean isPromptRead() {
        return readTokens >= promptTokens;
    }

    /**
     * Returns the length of the context that the engine keeps for the request.
     *
     * @return tokens read and written so far
     */
    int contextTokens() {
        return readTokens + writtenTokens;
    }

    /**
     * Reads the next part of the prompt.
     *
     * @param maxTokens maximum number of tokens to read
     * @return number of tokens read, 0 if the prompt has been read
     */
    int readPrompt(int maxTokens) {
        int count = Math.min(maxTokens, promptTokens - readTokens);
        readTokens += count;
        return count;
    }

    /**
     * Writes the next event of the answer.
     *
     * @param tokens tokens of the event
     * @return true if it was the last event
     */
    boolean writeEvent(int tokens) {
        if (writtenTokens == 0) {
            onFirstEvent.run();
        }
        writtenTokens += tokens;
        remainingEvents--;
        if (remainingEvents > 0) {
            return false;
        }
        onEnd.run();
        return true;
    }
}
