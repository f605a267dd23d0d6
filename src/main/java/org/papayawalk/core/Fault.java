package org.papayawalk.core;

/**
 * Expected failure with the step and the peer at which it arose. Immutable.
 *
 * @param kind how the caller may treat the failure
 * @param step what was being done, such as {@code read-config}
 * @param peer address or name of the other side
 * @param message names the thing that failed and the remedy
 */
public record Fault(FaultKind kind, String step, String peer, String message) {

    /**
     * Creates a fault from an exception.
     *
     * @param kind how the caller may treat the failure
     * @param step what was being done
     * @param peer address or name of the other side
     * @param cause exception whose text becomes the message
     * @return the fault
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
