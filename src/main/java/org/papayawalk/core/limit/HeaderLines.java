package org.papayawalk.core.limit;

/**
 * Bounds the header lines of all requests that a process holds. Answers the load of many callers
 * whose heads have a legal size and consist of very many short lines, each of which costs far more
 * memory than its bytes. The first lines of a head do not count, so that ordinary requests are
 * received whatever others hold. Not thread-safe: confined to one thread.
 */
public final class HeaderLines {
    /** Lines of each head that do not count. */
    public static final int FREE_LINES = 32;

    private final int maxLines;

    private int heldLines;

    /**
     * Creates a bound of which nothing is used.
     *
     * @param maxLines lines that all heads together may hold beyond their free ones
     */
    public HeaderLines(int maxLines) {
        this.maxLines = maxLines;
    }

    /**
     * Takes room for one line.
     *
     * @return false if there is none
     */
    public boolean tryHold() {
        if (heldLines >= maxLines) {
            return false;
        }
        heldLines++;
        return true;
    }

    /**
     * Gives room back.
     *
     * @param lines number of lines that were held
     */
    public void release(int lines) {
        heldLines -= lines;
    }

    /**
     * Returns the lines that are held.
     *
     * @return number of lines, without the free ones
     */
    public int heldLines() {
        return heldLines;
    }
}
