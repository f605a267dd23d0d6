package org.papayawalk.daemon.standalone.agent;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.SwarmPeer;

/**
 * Finds the manifest of a version. The host that comes first in the order asks the origin at once;
 * the others ask hosts before them, and the origin only after a number of attempts for each host
 * before them, so that one copy usually leaves the origin. Thread-safe.
 */
final class ManifestFetcher {
    /** Peers asked before the origin. */
    private static final int PEER_ATTEMPTS = 3;

    /** Attempts for each host before this one until the origin may be asked. */
    private static final int ATTEMPTS_PER_RANK = 5;

    /** Name of this host. */
    private final HostId self;

    /** Messages to peers. */
    private final ChunkTransport transport;

    /** Origin. */
    private final Origin origin;

    /** Reads manifests. */
    private final ManifestParser reader;

    /** Threads for calls that block. */
    private final Executor work;

    /**
     * Creates a finder.
     *
     * @param self name of this host
     * @param transport messages to peers
     * @param origin origin
     * @param reader reads manifests
     * @param work threads for calls that block
     */
    ManifestFetcher(
            HostId self,
            ChunkTransport transport,
            Origin origin,
            ManifestParser reader,
            Executor work) {
        this.reader = reader;
        this.self = self;
        this.transport = transport;
        this.origin = origin;
        this.work = work;
    }

    /**
     * Finds a manifest.
     *
     * @param digest digest of the manifest
     * @param peers hosts that want the version
     * @param attempt number of earlier attempts
     * @return the verified manifest or a fault; never completes exceptionally
     */
    CompletableFuture<Either<Fault, VerifiedManifest>> find(
            Digest digest, List<SwarmPeer> peers, int attempt) {
        List<HostId> order = new ArrayList<>(order(digest, peers, true));
        order.addAll(order(digest, peers, false));
        int own = order.indexOf(self);
        int before = own < 0 ? order.size() : own;
        int from = before == 0 ? 0 : attempt % before;
        int to = Math.min(before, from + PEER_ATTEMPTS);
        return ask(digest, order.subList(from, to), before * ATTEMPTS_PER_RANK <= attempt);
    }

    /**
     * Orders the hosts that are relays, or those that are not.
     *
     * @param digest digest of the manifest
     * @param peers hosts that want the version
     * @param relays whether relays are meant
     * @return hosts, first choice first
     */
    private static List<HostId> order(Digest digest, List<SwarmPeer> peers, boolean relays) {
        List<HostId> hosts =
                peers.stream().filter(p -> p.relay() == relays).map(SwarmPeer::host).toList();
        return RendezvousHash.order(hosts, digest + "/manifest");
    }

    /**
     * Asks peers in turn, then the origin.
     *
     * @param digest digest of the manifest
     * @param left peers not asked yet
     * @param originAllowed whether the origin may be asked
     * @return the verified manifest or a fault
     */
    private CompletableFuture<Either<Fault, VerifiedManifest>> ask(
            Digest digest, List<HostId> left, boolean originAllowed) {
        if (left.isEmpty() && !originAllowed) {
            String reason = "no peer has the manifest yet";
            return CompletableFuture.completedFuture(
                    Either.left(new Fault(FaultKind.REFUSED, "find-manifest", "peers", reason)));
        }
        if (left.isEmpty()) {
            return CompletableFuture.supplyAsync(
                    () -> origin.manifest(digest).flatMap(d -> read(d, digest, "origin")), work);
        }
        HostId peer = left.get(0);
        return transport
                .manifest(peer, digest)
                .thenCompose(
                        data -> {
                            if (data.isPresent()) {
                                Either<Fault, VerifiedManifest> read =
                                        read(data.get(), digest, peer.value());
                                if (read.isRight()) {
                                    return CompletableFuture.completedFuture(read);
                                }
                            }
                            return ask(digest, left.subList(1, left.size()), originAllowed);
                        });
    }

    /**
     * Reads and verifies a manifest.
     *
     * @param data bytes received
     * @param digest digest that they must have
     * @param source where they came from
     * @return the verified manifest or a fault
     */
    private Either<Fault, VerifiedManifest> read(byte[] data, Digest digest, String source) {
        return reader.read(data, digest, source).map(m -> new VerifiedManifest(data, m));
    }
}
