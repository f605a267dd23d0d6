package org.papayawalk.lab;

/** Command of the lab tool. The parser sets its options; an instance runs at most once. */
public interface LabCommand {

    /**
     * Returns the name that selects the command.
     *
     * @return single word, as typed on the command line
     */
    String name();

    /**
     * Runs the command. A command that starts stand-ins returns while they keep running.
     *
     * @return exit code of the process, 0 for success
     * @throws Exception if the command fails with an unexpected error
     */
    int run() throws Exception;
}
