package org.papayawalk.daemon.swarm;

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
 * Fetches the manifest of a version from peers or the origin. The first host of a rendezvous order,
 * in which relays precede agents, asks the origin at once. Every other host asks preceding hosts,
 * and asks the origin only after a number of attempts for each preceding host. So the origin
 * usually sends the manifest once.
 *
 * <p>Thread-safe.
 */
final class ManifestFetcher {
    /** Maximum number of peers asked in one attempt. */
    private static final int MAX_PEERS_PER_ATTEMPT = 3;

    /** Number of attempts for each preceding host before this host may ask the origin. */
    private static final int ATTEMPTS_PER_PRECEDING_HOST = 5;

    /** Number of early attempts that do not count among these. */
    private static final int EARLY_ATTEMPTS = 3;

    private final HostId self;

    private final ChunkTransport transport;

    private final Origin origin;

    private final ManifestParser parser;

    private final Executor work;

    /**
     * Creates a fetcher.
     *
     * @param self this host
     * @param dependencies peers, origin and parser of manifests
     * @param work executor for blocking calls
     */
    ManifestFetcher(HostId self, SwarmDependencies dependencies, Executor work) {
        this.parser = dependencies.manifestParser();
        this.self = self;
        this.transport = dependencies.transport();
        this.origin = dependencies.origin();
        this.work = work;
    }

    /**
     * Makes one attempt to fetch a manifest.
     *
     * @param digest digest of the manifest
     * @param peers hosts that want the version
     * @param attempt number of earlier attempts, from 0
     * @return verified manifest or a fault; never completes exceptionally
     */
    CompletableFuture<Either<Fault, VerifiedManifest>> fetch(
            Digest digest, List<SwarmPeer> peers, int attempt) {
        List<HostId> order = new ArrayList<>(order(digest, peers, true));
        order.addAll(order(digest, peers, false));
        int own = order.indexOf(self);
        int preceding = own < 0 ? order.size() : own;
        int from = preceding == 0 ? 0 : attempt % preceding;
        int to = Math.min(preceding, from + MAX_PEERS_PER_ATTEMPT);
        int attemptsBefore = preceding * ATTEMPTS_PER_PRECEDING_HOST + EARLY_ATTEMPTS;
        boolean originAllowed = preceding == 0 || attemptsBefore <= attempt;
        return fetchFrom(digest, order.subList(from, to), originAllowed);
    }

    // Returns the relays, or the other hosts, in rendezvous order.
    private static List<HostId> order(Digest digest, List<SwarmPeer> peers, boolean relays) {
        List<HostId> hosts =
                peers.stream().filter(p -> p.relay() == relays).map(SwarmPeer::host).toList();
        return RendezvousHash.order(hosts, digest + "/manifest");
    }

    // Asks the remaining peers in order, then the origin if that is allowed.
    private CompletableFuture<Either<Fault, VerifiedManifest>> fetchFrom(
            Digest digest, List<HostId> remaining, boolean originAllowed) {
        if (remaining.isEmpty() && !originAllowed) {
            String reason =
                    "no peer has returned the manifest of version " + digest.shortText() + " yet";
            return CompletableFuture.completedFuture(
                    Either.left(new Fault(FaultKind.REFUSED, "find-manifest", "peers", reason)));
        }
        if (remaining.isEmpty()) {
            return CompletableFuture.supplyAsync(
                    () -> origin.manifest(digest).flatMap(d -> parse(d, digest, "origin")), work);
        }
        HostId peer = remaining.get(0);
        return transport
                .requestManifest(peer, digest)
                .thenCompose(
                        data -> {
                            if (data.isPresent()) {
                                Either<Fault, VerifiedManifest> manifest =
                                        parse(data.get(), digest, peer.value());
                                if (manifest.isRight()) {
                                    return CompletableFuture.completedFuture(manifest);
                                }
                            }
                            return fetchFrom(
                                    digest, remaining.subList(1, remaining.size()), originAllowed);
                        });
    }

    private Either<Fault, VerifiedManifest> parse(byte[] data, Digest digest, String source) {
        return parser.parse(data, digest, source).map(m -> new VerifiedManifest(data, m));
    }
}
