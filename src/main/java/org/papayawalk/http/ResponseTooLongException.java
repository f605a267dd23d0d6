package org.papayawalk.http;

import java.io.IOException;

/** Thrown when a response is longer than its request allows. Immutable. */
final class ResponseTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param maxBytes bound that was exceeded, in bytes
     */
    ResponseTooLongException(int maxBytes) {
        super("response is longer than " + maxBytes + " bytes");
    }
}
