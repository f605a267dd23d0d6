package org.papayawalk.cli;

/** Command of the operators' tool. An instance runs at most once, on one thread. */
interface Command {

    /**
     * Returns the name that selects the command.
     *
     * @return single word, as typed on the command line
     */
    String name();

    /**
     * Returns the options, which the parser fills before {@link #run} is called.
     *
     * @return the same object at each call
     */
    CommonOptions options();

    /**
     * Runs the command. Its options have been validated.
     *
     * @param context output streams and clients
     * @return exit code of the process
     * @throws InterruptedException if the thread is interrupted while the command waits
     */
    ExitCode run(CommandContext context) throws InterruptedException;
}
