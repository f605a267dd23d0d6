package org.papayawalk.daemon.managed;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Daemons of one test, stopped after it: they would call the closed ports of their stores until the
 * process ends, and reach the stores of later tests there. Thread-safe.
 */
public final class RunningNodes implements AutoCloseable {
    private final List<ManagedNode> nodes = new CopyOnWriteArrayList<>();

    /**
     * Adds a daemon.
     *
     * @param node daemon, started or not
     * @return the same daemon
     */
    public ManagedNode add(ManagedNode node) {
        nodes.add(node);
        return node;
    }

    /** Ends the daemons as a kill does: they tell nobody and clean up nothing. */
    @Override
    public void close() {
        for (ManagedNode node : nodes) {
            node.thread().close();
            node.runtime().close();
        }
        nodes.clear();
    }
}
