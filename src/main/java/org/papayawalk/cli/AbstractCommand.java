package org.papayawalk.cli;

/**
 * Skeletal implementation of a command whose name is an argument of the constructor, so that one
 * class can implement several similar commands. Confined to one thread.
 *
 * @param <O> type of the options
 */
abstract class AbstractCommand<O extends CommonOptions> implements Command {
    private final String name;

    private final O options;

    /**
     * Creates a command.
     *
     * @param name name on the command line
     * @param options options that the parser will fill
     */
    AbstractCommand(String name, O options) {
        this.name = name;
        this.options = options;
    }

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final O options() {
        return options;
    }
}
