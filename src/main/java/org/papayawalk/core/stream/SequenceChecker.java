package org.papayawalk.core.stream;

/**
 * Checks that the parts of a response arrive whole and in order. Not thread-safe: confined to the
 * thread that reads the response.
 */
public final class SequenceChecker {
    /** Number expected next. */
    private long nextSequence;

    /**
     * Takes the number of a part.
     *
     * @param sequence number of the part, from 0
     * @return true if it is the next part, false if it is a repetition or comes after a gap
     */
    public boolean accept(long sequence) {
        if (sequence != nextSequence) {
            return false;
        }
        nextSequence++;
        return true;
    }

    /**
     * Tells whether the end mark fits the parts taken.
     *
     * @param count number of parts that the sender sent
     * @return true if all of them were taken
     */
    public boolean isComplete(long count) {
        return nextSequence == count;
    }

    /**
     * Returns the number of parts taken.
     *
     * @return 0 or more
     */
    public long acceptedCount() {
        return nextSequence;
    }
}
