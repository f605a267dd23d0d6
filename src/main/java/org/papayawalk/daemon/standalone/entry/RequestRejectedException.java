package org.papayawalk.daemon.standalone.entry;

/** Thrown if a request is invalid; carries the response to the caller. Immutable. */
final class RequestRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ErrorResponse response;

    /**
     * Creates the exception.
     *
     * @param response response to the caller, whose reason becomes the message
     */
    RequestRejectedException(ErrorResponse response) {
        super(response.reason());
        this.response = response;
    }

    /**
     * Returns the error response to send.
     *
     * @return response to the caller
     */
    ErrorResponse response() {
        return response;
    }
}
