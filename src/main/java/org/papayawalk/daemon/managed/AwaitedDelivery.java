package org.papayawalk.daemon.managed;

/**
 * Counts how often a watcher has waited for another daemon to deliver changes that a check has
 * found. Once nothing was delivered, or something twice that was not the newest, the watcher reads
 * at the store, until the other daemon proves again that nothing is missing. Confined to the
 * control thread.
 */
final class AwaitedDelivery {
    /** Waits in a row after which the changes are read at the store. */
    private static final int MAX_WAITS = 2;

    private int waits;

    /**
     * Records that a wait has ended.
     *
     * @param delivered whether any change was delivered
     */
    void waited(boolean delivered) {
        waits = delivered ? waits + 1 : MAX_WAITS;
    }

    /** Records that the other daemon has proven that nothing is missing. */
    void proven() {
        waits = 0;
    }

    /**
     * Returns whether the changes have to be read at the store.
     *
     * @return true after enough waits without a proof
     */
    boolean isOverdue() {
        return waits >= MAX_WAITS;
    }
}
