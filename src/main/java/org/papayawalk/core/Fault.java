package org.papayawalk.core;

/**
 * Expected failure, returned as a value instead of thrown. Immutable.
 *
 * @param kind kind of the failure, which decides how it is handled
 * @param step operation that failed, such as {@code read-config}
 * @param peer address or name of the remote side
 * @param message description of what failed, and of the remedy if there is one
 */
public record Fault(FaultKind kind, String step, String peer, String message) {

    /**
     * Creates a fault from an exception.
     *
     * @param kind kind of the failure
     * @param step operation that failed
     * @param peer address or name of the remote side
     * @param cause exception whose simple class name and message become the message of the fault
     * @return fault without a reference to the exception
     */
    public static Fault of(FaultKind kind, String step, String peer, Throwable cause) {
        String text = cause.getMessage() == null ? "" : ": " + cause.getMessage();
        return new Fault(kind, step, peer, cause.getClass().getSimpleName() + text);
    }

    @Override
    public String toString() {
        return "%s at step %s with peer %s: %s".formatted(kind, step, peer, message);
    }
}
