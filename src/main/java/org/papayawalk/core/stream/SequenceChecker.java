package org.papayawalk.core.stream;

/**
 * Checks that the parts of a response arrive completely and in sequence. Not thread-safe: confined
 * to the thread that reads the response.
 */
public final class SequenceChecker {
    /** Sequence number of the next part, which is also the number of accepted parts. */
    private long nextSequence;

    /**
     * Accepts a part if it is the next one in sequence.
     *
     * @param sequence sequence number of the part, starting at 0
     * @return false if the part is a duplicate or follows a gap
     */
    public boolean accept(long sequence) {
        if (sequence != nextSequence) {
            return false;
        }
        nextSequence++;
        return true;
    }

    /**
     * Returns whether all parts were accepted.
     *
     * @param sentCount number of parts according to the end message of the sender
     * @return true if exactly this number of parts was accepted
     */
    public boolean isComplete(long sentCount) {
        return nextSequence == sentCount;
    }

    /**
     * Returns the number of accepted parts.
     *
     * @return number of parts, 0 or more
     */
    public long acceptedCount() {
        return nextSequence;
    }
}
