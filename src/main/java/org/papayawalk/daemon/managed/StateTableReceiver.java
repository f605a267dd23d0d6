package org.papayawalk.daemon.managed;

import java.time.Instant;
import java.util.function.Consumer;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;

/**
 * Passes what is read from one table of the store to the state of this daemon. Confined to the
 * control thread.
 *
 * @param table name of the table
 * @param state state of this daemon
 * @param calls counts the calls
 * @param eraListener receives the era that each answer states
 */
record StateTableReceiver(
        String table, PlatformState state, StoreCalls calls, Consumer<StoreEra> eraListener)
        implements TableWatcher.Receiver {

    @Override
    public TableVersion version() {
        return state.table(table).version();
    }

    @Override
    public Instant completeUntil() {
        return state.table(table).completeUntil();
    }

    @Override
    public void complete(TableVersion version, Instant until) {
        state.proofs().record(table, version, until);
    }

    @Override
    public void apply(TableUpdate update, long after) {
        state.applyUpdate(table, update, after, "store");
    }

    @Override
    public void eraSeen(StoreEra era) {
        eraListener.accept(era);
    }

    @Override
    public void storeFailed() {
        state.storeHealth().recordFailure();
    }

    @Override
    public void callEnded(StoreCalls.Kind kind, StoreCalls.Outcome outcome) {
        calls.ended(kind, table, outcome);
    }
}
