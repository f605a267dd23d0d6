package org.papayawalk.cli;

/** Exit codes of the tool, as docs/OPERATORS.md lists them. Immutable. */
public enum ExitCode {
    /** Done, or the state asked for is reached. */
    OK(0),
    /** Refused, or the state asked for is not reached. */
    REFUSED(1),
    /** Wrong command line, settings or sheet. */
    USAGE(2),
    /** The outcome is unknown, or a service or host does not answer. */
    UNKNOWN(3);

    /** Number. */
    private final int number;

    /**
     * Creates a code.
     *
     * @param number number
     */
    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number.
     *
     * @return 0 to 3
     */
    public int number() {
        return number;
    }
}
