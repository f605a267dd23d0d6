package org.papayawalk.cli;

/**
 * Command that stands under several names and does a little else under each. Confined to one
 * thread.
 *
 * @param <O> type of its options
 */
abstract class AbstractCommand<O extends CommonOptions> implements Command {
    /** Name on the command line. */
    private final String name;

    /** Options, filled by the parser. */
    private final O options;

    /**
     * Creates a command.
     *
     * @param name name on the command line
     * @param options options, not filled yet
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
