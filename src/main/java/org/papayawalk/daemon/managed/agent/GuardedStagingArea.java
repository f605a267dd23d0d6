package org.papayawalk.daemon.managed.agent;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.EarlierOrder;
import org.papayawalk.core.weight.EarlierWrites;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.StagedAtStart;
import org.papayawalk.daemon.swarm.StagingArea;
import org.papayawalk.log.Event;

/**
 * Staging area of the engine in which the version that an earlier process of this agent has staged
 * stays as it is while the engine may still accept an order of that process. All reads have to
 * precede the first write, and a report of the engine has to precede them. Thread-safe; calls
 * block.
 */
final class GuardedStagingArea implements StagingArea {
    private final LocalEngine engine;

    // By the time for which the engine answered.
    private final Instant startedAt;

    // Empty before the first read.
    private Optional<EarlierOrder> earlierOrder = Optional.empty();

    // Version that the engine served at the first read, 0 for none; empty before.
    private Optional<Integer> servedAtStart = Optional.empty();

    // Empty before the first read.
    private Optional<StagedAtStart> found = Optional.empty();

    // Whether a write has waited.
    private boolean waited;

    // Whether what was found may be overwritten.
    private boolean released;

    /**
     * Creates a guard at the start of the process.
     *
     * @param engine engine beside this process
     */
    GuardedStagingArea(LocalEngine engine) {
        this.engine = engine;
        this.startedAt = engine.answeredTime();
    }

    @Override
    public void reset() {
        engine.reset();
    }

    @Override
    public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
        return !hasToWait(manifest) && engine.write(digest, manifest, index, data);
    }

    @Override
    public Optional<byte[]> read(Manifest manifest, int index) {
        Either<Fault, Optional<byte[]>> chunk = engine.readStaged(manifest, index);
        record(manifest, index, chunk);
        return chunk.getOrElse(Optional.empty());
    }

    private synchronized void record(
            Manifest manifest, int index, Either<Fault, Optional<byte[]>> chunk) {
        noteOrdersAtStart();
        StagedAtStart before = found.orElseGet(() -> new StagedAtStart(manifest, 0, 0, 0));
        boolean staged = chunk.isRight() && chunk.get().isPresent();
        boolean matches = staged && manifest.matches(index, chunk.get().get());
        StagedAtStart after =
                new StagedAtStart(
                        manifest,
                        before.matching() + (matches ? 1 : 0),
                        before.other() + (staged && !matches ? 1 : 0),
                        before.unread() + (chunk.isLeft() ? 1 : 0));
        found = Optional.of(after);
        int served = servedAtStart.orElseGet(() -> served(manifest));
        servedAtStart = Optional.of(served);
        engine.recordEarlierWrites(new EarlierWrites(after, served, startedAt));
    }

    private int served(Manifest manifest) {
        return engine.lastReport().map(r -> r.models().getOrDefault(manifest.model(), 0)).orElse(0);
    }

    private synchronized boolean hasToWait(Manifest manifest) {
        if (released || found.filter(f -> f.mayBeOtherThan(manifest)).isEmpty()) {
            return false;
        }
        noteOrdersAtStart();
        boolean open = earlierOrder.isEmpty() || mayBeOpen(earlierOrder.get(), manifest);
        released = !open;
        if (open != waited) {
            Event.named(open ? "staging-waits" : "staging-released")
                    .with("wanted", manifest.version())
                    .with("orders", earlierOrder.map(EarlierOrder::ordersAtStart).orElse(0L))
                    .info();
        }
        waited = open;
        return open;
    }

    private void noteOrdersAtStart() {
        earlierOrder =
                earlierOrder.or(
                        () ->
                                engine.lastReport()
                                        .map(r -> new EarlierOrder(r.orders(), startedAt)));
    }

    private boolean mayBeOpen(EarlierOrder order, Manifest manifest) {
        int wanted = Integer.parseInt(manifest.version());
        EngineReport report = engine.lastReport().orElseThrow();
        return order.mayBeOpen(wanted, manifest.model(), report, engine.answeredTime());
    }
}
