package org.papayawalk.cli;

/** Exit codes of the tool. docs/OPERATORS.md lists them. Immutable. */
public enum ExitCode {
    /** The command succeeded, or the requested state is reached. */
    OK(0),
    /** The request was refused, or the requested state is not reached. */
    REFUSED(1),
    /** The command line, a setting or the sheet is invalid. */
    USAGE(2),
    /** The outcome is unknown, or a service or a host did not respond. */
    UNKNOWN(3);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return 0 to 3
     */
    public int number() {
        return number;
    }
}
