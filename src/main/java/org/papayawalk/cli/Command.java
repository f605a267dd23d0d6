package org.papayawalk.cli;

/** One command of the tool. Implementations are used once. */
interface Command {

    /**
     * Returns the name.
     *
     * @return word on the command line
     */
    String name();

    /**
     * Returns the options.
     *
     * @return object that the parser fills
     */
    CommonOptions options();

    /**
     * Runs the command.
     *
     * @param context what commands use
     * @return exit code
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run(CommandContext context) throws InterruptedException;
}
