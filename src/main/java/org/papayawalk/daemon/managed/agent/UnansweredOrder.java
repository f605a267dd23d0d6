package org.papayawalk.daemon.managed.agent;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.OpenOrder;

/**
 * Load order that the engine has not answered, with the chunks that have to stay staged until it is
 * settled. Immutable by convention: the bytes are not changed.
 *
 * @param staged version that the engine was ordered to load
 * @param open condition under which the engine may still accept the order
 * @param copies verified chunks by index, empty where this host has none
 */
record UnansweredOrder(StagedVersion staged, OpenOrder open, List<Optional<byte[]>> copies) {

    /**
     * Creates an order and keeps the chunks of its version.
     *
     * @param staged version that the engine was ordered to load
     * @param report report that the order is based on
     * @param chunks supplies the verified chunks by index
     * @param sentAt when the order was sent, by the time for which the engine answered
     * @return order
     */
    static UnansweredOrder of(
            StagedVersion staged,
            EngineReport report,
            IntFunction<Optional<byte[]>> chunks,
            Instant sentAt) {
        List<Optional<byte[]>> copies =
                IntStream.range(0, staged.manifest().chunkCount()).mapToObj(chunks).toList();
        return new UnansweredOrder(staged, new OpenOrder(report.orders(), sentAt), copies);
    }

    /**
     * Returns a verified chunk.
     *
     * @param index index of the chunk
     * @return its bytes, empty if this host has no copy
     */
    Optional<byte[]> copy(int index) {
        return copies.get(index);
    }
}
