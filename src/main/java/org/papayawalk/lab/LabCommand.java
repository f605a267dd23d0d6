package org.papayawalk.lab;

/** One command of the lab tool. Implementations are filled by the parser and used once. */
public interface LabCommand {

    /**
     * Returns the name.
     *
     * @return word on the command line
     */
    String name();

    /**
     * Runs the command. A command that starts stand-ins returns while they run.
     *
     * @return exit code, 0 for success
     * @throws Exception if the command fails
     */
    int run() throws Exception;
}
