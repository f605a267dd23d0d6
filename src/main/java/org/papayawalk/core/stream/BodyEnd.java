package org.papayawalk.core.stream;

/** What told that the body of a response had ended. Immutable. */
public enum BodyEnd {
    /** All bytes of the stated length were received, or the response has no body. */
    LENGTH("length"),

    /** The last chunk was received. */
    LAST_CHUNK("last-chunk"),

    /** The peer ended the connection, and the response has neither a length nor chunks. */
    CONNECTION("connection");

    private final String label;

    BodyEnd(String label) {
        this.label = label;
    }

    /**
     * Returns the name in logs and metrics.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }
}
