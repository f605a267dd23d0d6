package org.papayawalk.daemon.standalone.entry;

/** Carries a refusal out of the parsing of a request. Immutable. */
final class RequestRejectedException extends Exception {
    /** Version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** Answer to the caller. */
    private final transient ErrorResponse refusal;

    /**
     * Creates the exception.
     *
     * @param refusal answer to the caller
     */
    RequestRejectedException(ErrorResponse refusal) {
        super(refusal.reason());
        this.refusal = refusal;
    }

    /**
     * Returns the refusal.
     *
     * @return answer to the caller
     */
    ErrorResponse refusal() {
        return refusal;
    }
}
