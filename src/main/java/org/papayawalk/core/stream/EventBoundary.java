package org.papayawalk.core.stream;

/**
 * Finds the ends of server-sent events in a byte stream without keeping its bytes. An event ends
 * with an empty line; lines end with LF, CR LF or CR. After a CR, an LF belongs to the same line
 * end. Not thread-safe: confined to the reading thread.
 */
public final class EventBoundary {
    /** Whether the present line is empty so far. */
    private boolean lineEmpty = true;

    /** Whether the present event has a line that is not empty. */
    private boolean hasContent;

    /** Whether the last byte was a CR. */
    private boolean afterReturn;

    /** Whether the CR before ended a line; otherwise the next byte tells whether it did. */
    private boolean returnEndedLine;

    /** Whether a CR without an LF has ended a line of this stream. */
    private boolean loneReturns;

    private boolean eventSeen;

    /**
     * Decides whether an event ends before a byte. This is so only at the first event of a stream
     * whose lines end with CR: until then, an LF may follow.
     *
     * @param next next byte of the stream, not consumed
     * @return true if the bytes so far end an event
     */
    public boolean endsBefore(byte next) {
        if (!afterReturn || returnEndedLine || next == '\n') {
            return false;
        }
        loneReturns = true;
        returnEndedLine = true;
        return endLine();
    }

    /**
     * Consumes a byte. {@link #endsBefore} must have been called for it.
     *
     * @param next next byte of the stream
     * @return true if it ends an event
     */
    public boolean endsWith(byte next) {
        boolean sameLineEnd = afterReturn && returnEndedLine;
        afterReturn = next == '\r';
        if (afterReturn) {
            returnEndedLine = loneReturns;
            return loneReturns && endLine();
        }
        if (next == '\n') {
            return !sameLineEnd && endLine();
        }
        lineEmpty = false;
        hasContent = true;
        return false;
    }

    /** Forgets the present event, for example because its upstream was lost. */
    public void discardPartial() {
        lineEmpty = true;
        hasContent = false;
        afterReturn = false;
    }

    /**
     * Returns whether an event has begun and not ended. Empty lines between events begin none.
     *
     * @return true inside an event, its lines and their ends
     */
    public boolean isInsideEvent() {
        return hasContent;
    }

    /**
     * Returns whether an event has ended.
     *
     * @return true after the first complete event
     */
    public boolean eventSeen() {
        return eventSeen;
    }

    // Returns whether the line that ends is the empty line after an event.
    private boolean endLine() {
        boolean eventEnds = lineEmpty && hasContent;
        if (eventEnds) {
            hasContent = false;
            eventSeen = true;
        }
        lineEmpty = true;
        return eventEnds;
    }
}
