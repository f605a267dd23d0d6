package org.papayawalk.daemon.entry;

/** Carries a refusal out of the parsing of a request. Immutable. */
final class RefusalException extends Exception {
    /** Version of the serialized form. */
    private static final long serialVersionUID = 1L;

    /** Answer to the caller. */
    private final transient Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param refusal answer to the caller
     */
    RefusalException(Refusal refusal) {
        super(refusal.reason());
        this.refusal = refusal;
    }

    /**
     * Returns the refusal.
     *
     * @return answer to the caller
     */
    Refusal refusal() {
        return refusal;
    }
}
