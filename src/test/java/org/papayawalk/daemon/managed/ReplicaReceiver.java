package org.papayawalk.daemon.managed;

import java.time.Instant;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;

/**
 * Applies rows to a replica and ignores the rest. Confined to the control thread.
 *
 * @param replica replica
 */
record ReplicaReceiver(TableReplica replica) implements TableWatcher.Receiver {
    @Override
    public TableVersion version() {
        return replica.version();
    }

    @Override
    public Instant completeUntil() {
        return replica.completeUntil();
    }

    @Override
    public void complete(TableVersion version, Instant until) {
        replica.recordComplete(version, until);
    }

    @Override
    public void apply(TableUpdate update, long after) {
        replica.apply(update, after);
    }

    @Override
    public void eraSeen(StoreEra era) {
        // The replica takes the era from what is read.
    }

    @Override
    public void storeFailed() {
        // Tests observe the rows only.
    }

    @Override
    public void callEnded(StoreCalls.Kind kind, StoreCalls.Outcome outcome) {
        // Tests observe the store's side.
    }
}
