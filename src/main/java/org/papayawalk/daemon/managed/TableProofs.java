package org.papayawalk.daemon.managed;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.platform.StoreCodec;

/**
 * Records until when the replicas of the platform's tables have every change, and tells its
 * listeners of those of the operator's table. Confined to the control thread.
 */
public final class TableProofs {
    private final Map<String, TableReplica> tables;

    private final List<Consumer<Instant>> operatorListeners = new ArrayList<>();

    /**
     * Creates a record without listeners.
     *
     * @param tables replicas by the names of their tables
     */
    TableProofs(Map<String, TableReplica> tables) {
        this.tables = tables;
    }

    /**
     * Adds a listener of the time until which the operator's table has every change. It is called
     * after the listeners of the snapshot that has these changes.
     *
     * @param listener receives each later time
     */
    public void addOperatorListener(Consumer<Instant> listener) {
        operatorListeners.add(listener);
    }

    /**
     * Records that a version of a table has every change made until a time. No effect unless the
     * replica covers that version.
     *
     * @param table name of a table; others than those that this daemon follows are ignored
     * @param covered version
     * @param until time that the store's answer, or what a peer tells of one, proves
     */
    void record(String table, TableVersion covered, Instant until) {
        TableReplica replica = tables.get(table);
        if (replica == null) {
            return;
        }
        Instant before = replica.completeUntil();
        replica.recordComplete(covered, until);
        Instant proven = replica.completeUntil();
        if (table.equals(StoreCodec.OPERATOR_TABLE) && proven.isAfter(before)) {
            operatorListeners.forEach(l -> l.accept(proven));
        }
    }
}
