package org.papayawalk.core.desired;

/**
 * What an operator should know of a desired state before it is sent. Immutable.
 *
 * @param severity whether part of it cannot work
 * @param subject part that it concerns, such as {@code route "orders"}
 * @param text what is wrong, and what it leads to
 */
public record Finding(Severity severity, String subject, String text) {

    /** Weight of a finding. */
    public enum Severity {
        /** The part cannot work as it is written. */
        ERROR,
        /** The part works, but some of it has no effect. */
        WARNING
    }

    /**
     * Creates an error.
     *
     * @param subject see the component
     * @param text see the component
     * @return finding
     */
    static Finding error(String subject, String text) {
        return new Finding(Severity.ERROR, subject, text);
    }

    /**
     * Creates a warning.
     *
     * @param subject see the component
     * @param text see the component
     * @return finding
     */
    static Finding warning(String subject, String text) {
        return new Finding(Severity.WARNING, subject, text);
    }
}
