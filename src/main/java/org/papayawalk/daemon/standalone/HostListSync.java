package org.papayawalk.daemon.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.papayawalk.adapter.standalone.HostListCodec;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.HostList;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.HostsQuery;

/**
 * Reads the host list of the platform. Until a non-empty list was received, each failed read is
 * followed by a query to the seed peers. Not thread-safe: confined to the control thread.
 */
final class HostListSync {
    private static final Duration SEED_TIMEOUT = Duration.ofSeconds(2);

    private final HostList hostList;

    private final List<String> seeds;

    private final PeerClient client;

    private final ControlThread controlThread;

    private final Executor blockingExecutor;

    private final Predicate<List<HostRecord>> listHandler;

    private boolean readInProgress;

    // Whether a non-empty list was received from the platform or a seed.
    private boolean listReceived;

    /**
     * Creates a synchronization that has not read anything yet.
     *
     * @param hostList host list of the platform
     * @param seeds addresses of daemons to query while the platform's host list is unavailable
     * @param client client for messages to other daemons
     * @param controlThread control thread
     * @param blockingExecutor threads for blocking calls
     * @param listHandler applies a list, on the control thread; returns false if it ignores the
     *     list
     */
    HostListSync(
            HostList hostList,
            List<String> seeds,
            PeerClient client,
            ControlThread controlThread,
            Executor blockingExecutor,
            Predicate<List<HostRecord>> listHandler) {
        this.hostList = hostList;
        this.seeds = seeds;
        this.client = client;
        this.controlThread = controlThread;
        this.blockingExecutor = blockingExecutor;
        this.listHandler = listHandler;
    }

    /** Starts to read the host list, unless a read is in progress. */
    void read() {
        if (readInProgress) {
            return;
        }
        readInProgress = true;
        blockingExecutor.execute(
                () -> {
                    Either<Fault, List<HostRecord>> result = hostList.read();
                    controlThread.execute(() -> handleReadResult(result));
                });
    }

    private void handleReadResult(Either<Fault, List<HostRecord>> result) {
        readInProgress = false;
        if (result.isRight()) {
            applyList(result.get());
            return;
        }
        Event.named("host-list-failed").with("fault", result.getLeft()).warn();
        if (!listReceived) {
            seeds.forEach(this::querySeed);
        }
    }

    private void querySeed(String seed) {
        Envelope.Builder query =
                Envelope.newBuilder().setHostsQuery(HostsQuery.getDefaultInstance());
        client.request(seed, TrafficClass.LIVE, query, SEED_TIMEOUT)
                .thenAccept(
                        reply ->
                                reply.peek(
                                        r ->
                                                controlThread.execute(
                                                        () -> handleSeedReply(seed, r))));
    }

    private void handleSeedReply(String seed, Envelope reply) {
        if (listReceived) {
            return;
        }
        byte[] data = reply.getHostsDocument().getDocument().toByteArray();
        try {
            applyList(HostListCodec.read(data));
        } catch (IOException e) {
            Event.named("host-list-failed").with("peer", seed).with("fault", e).warn();
        }
    }

    private void applyList(List<HostRecord> list) {
        if (listHandler.test(list)) {
            listReceived |= !list.isEmpty();
        } else {
            Event.named("host-list-ignored")
                    .with("reason", "the received host list is empty; known hosts are kept")
                    .warn();
        }
    }
}
