package org.papayawalk.daemon.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.papayawalk.adapter.standalone.Json;
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
 * Reads the host list, or asks seeds for it while it is away at the start. Not thread-safe:
 * confined to the control thread.
 */
final class HostListSync {
    /** Longest wait for a seed. */
    private static final Duration SEED_LIMIT = Duration.ofSeconds(2);

    /** Host list of the platform. */
    private final HostList hostList;

    /** Addresses of peers to ask. */
    private final List<String> seeds;

    /** Client for peers. */
    private final PeerClient client;

    /** Control thread. */
    private final ControlThread control;

    /** Threads for calls that block. */
    private final Executor work;

    /** Takes a list and tells whether it was used. */
    private final Predicate<List<HostRecord>> receiver;

    /** Whether a read is under way. */
    private boolean reading;

    /** Whether a list was ever taken. */
    private boolean known;

    /**
     * Creates the synchronization.
     *
     * @param hostList host list of the platform
     * @param seeds addresses of peers to ask
     * @param client client for peers
     * @param control control thread
     * @param work threads for calls that block
     * @param receiver takes a list on the control thread and tells whether it was used
     */
    HostListSync(
            HostList hostList,
            List<String> seeds,
            PeerClient client,
            ControlThread control,
            Executor work,
            Predicate<List<HostRecord>> receiver) {
        this.hostList = hostList;
        this.seeds = seeds;
        this.client = client;
        this.control = control;
        this.work = work;
        this.receiver = receiver;
    }

    /** Reads the list unless a read is under way. */
    void read() {
        if (reading) {
            return;
        }
        reading = true;
        work.execute(
                () -> {
                    Either<Fault, List<HostRecord>> result = hostList.read();
                    control.run(() -> ended(result));
                });
    }

    /**
     * Takes the end of a read.
     *
     * @param result list, or a fault
     */
    private void ended(Either<Fault, List<HostRecord>> result) {
        reading = false;
        if (result.isRight()) {
            take(result.get());
            return;
        }
        Event.named("host-list-failed").with("fault", result.getLeft()).warn();
        if (!known) {
            seeds.forEach(this::ask);
        }
    }

    /**
     * Asks a seed.
     *
     * @param seed address of the peer
     */
    private void ask(String seed) {
        Envelope.Builder query =
                Envelope.newBuilder().setHostsQuery(HostsQuery.getDefaultInstance());
        client.request(seed, TrafficClass.LIVE, query, SEED_LIMIT)
                .thenAccept(answer -> answer.peek(e -> control.run(() -> answered(seed, e))));
    }

    /**
     * Takes the answer of a seed.
     *
     * @param seed address of the peer
     * @param answer its answer
     */
    private void answered(String seed, Envelope answer) {
        if (known) {
            return;
        }
        byte[] data = answer.getHostsDocument().getDocument().toByteArray();
        try {
            take(Json.read(data, new TypeReference<List<HostRecord>>() {}));
        } catch (IOException e) {
            Event.named("host-list-failed").with("peer", seed).with("fault", e).warn();
        }
    }

    /**
     * Takes a list.
     *
     * @param list hosts listed
     */
    private void take(List<HostRecord> list) {
        if (receiver.test(list)) {
            known |= !list.isEmpty();
        } else {
            Event.named("host-list-ignored").with("reason", "the list is empty").warn();
        }
    }
}
