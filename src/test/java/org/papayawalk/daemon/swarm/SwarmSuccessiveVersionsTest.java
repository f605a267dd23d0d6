package org.papayawalk.daemon.swarm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.core.weight.SwarmPlanner;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.support.Await;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A relay holds one version when a newer one is requested, and the origin fails before it has sent
 * the newer one. The peers that fetch the first version from the relay must be able to finish it:
 * otherwise no host gets a whole version until the origin is back.
 */
public final class SwarmSuccessiveVersionsTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final int CHUNKS = 6;

    private static final int CHUNK_BYTES = 16;

    private static final Digest FIRST = Digest.of(new byte[] {1});

    private static final Digest SECOND = Digest.of(new byte[] {2});

    private static final RegionId REGION = new RegionId("fes");

    private final ExecutorService work = Executors.newFixedThreadPool(2);

    private final FailingOrigin origin = new FailingOrigin();

    private Swarm relay;

    /** Origin that sends manifests always, and chunks until it fails. Thread-safe. */
    private static final class FailingOrigin implements Origin, ManifestParser {
        private volatile boolean failed;

        @Override
        public Either<Fault, byte[]> manifest(Digest digest) {
            return Either.right(digest.value().getBytes());
        }

        @Override
        public Either<Fault, byte[]> chunk(Digest digest, int index) {
            return failed
                    ? Either.left(new Fault(FaultKind.REFUSED, "read-chunk", "origin", "down"))
                    : Either.right(data(digest, index));
        }

        @Override
        public Either<Fault, Manifest> parse(byte[] data, Digest version, String source) {
            List<Digest> chunks = new ArrayList<>();
            for (int i = 0; i < CHUNKS; i++) {
                chunks.add(Digest.of(data(version, i)));
            }
            return Either.right(
                    new Manifest(
                            "m",
                            "",
                            version.shortText(),
                            CHUNKS * CHUNK_BYTES,
                            CHUNK_BYTES,
                            chunks,
                            version));
        }
    }

    /** Transport without any peer. Thread-safe. */
    private static final class NoPeers implements ChunkTransport {
        @Override
        public CompletableFuture<ChunkResponse> requestChunk(
                HostId peer, Digest digest, int index, BitSet held) {
            return CompletableFuture.completedFuture(ChunkResponse.FAILED);
        }

        @Override
        public CompletableFuture<Optional<byte[]>> requestManifest(HostId peer, Digest digest) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public void announceChunks(HostId peer, Digest digest, BitSet held, BitSet fetches) {
            // Nobody listens.
        }
    }

    /** Starts a relay that holds the first version. */
    @BeforeMethod
    public void start() {
        SwarmPeer self = new SwarmPeer(new HostId("10.0.0.1"), REGION, true);
        StagingArea none =
                new StagingArea() {
                    @Override
                    public void reset() {
                        // A relay stages nothing.
                    }

                    @Override
                    public boolean write(Digest digest, Manifest manifest, int index, byte[] d) {
                        return true;
                    }
                };
        WeightSettings settings =
                new WeightSettings(
                        (host, digest, manifest, startedAt) ->
                                new SwarmPlanner(
                                        host.host(),
                                        host.region(),
                                        digest,
                                        manifest.chunkCount(),
                                        new SwarmPlannerSettings(
                                                DistributionPolicy.BYTES,
                                                REGION,
                                                4,
                                                2,
                                                true,
                                                SwarmPlannerSettings.OFFER_WAIT),
                                        new SplittableRandom(7),
                                        startedAt),
                        1e9,
                        1e9,
                        1 << 20);
        SwarmDependencies dependencies =
                new SwarmDependencies(
                        new NoPeers(), origin, none, origin, (digest, now) -> List.of(self));
        relay = new Swarm(self, settings, InstantSource.system(), work, dependencies);
        relay.setWantedVersion(FIRST);
        Await.within(TIMEOUT_MILLIS, () -> relay.progress().staged());
    }

    /** Ends the relay. */
    @AfterMethod
    public void stop() {
        relay.close();
        work.shutdownNow();
    }

    /** Every chunk of the first version is served although the second one is wanted. */
    @Test
    public void peersCanFinishTheVersionBeforeTheWantedOne() {
        origin.failed = true;
        relay.setWantedVersion(SECOND);
        Await.within(TIMEOUT_MILLIS, () -> manifest(SECOND).isPresent());
        for (int i = 0; i < CHUNKS; i++) {
            ChunkResponse response = ask(FIRST, i);
            assertEquals(response.result(), FetchResult.VERIFIED);
            assertEquals(response.data(), data(FIRST, i));
            assertEquals(response.heldChunks().cardinality(), CHUNKS);
        }
        assertTrue(manifest(FIRST).isPresent());
        assertEquals(relay.progress().digest(), SECOND);
    }

    private ChunkResponse ask(Digest digest, int index) {
        CompletableFuture<ChunkResponse> response = new CompletableFuture<>();
        HostId peer = new HostId("10.0.0.2");
        relay.handleQuery(new ChunkQuery(peer, digest, index, new BitSet()), response::complete);
        return response.join();
    }

    private Optional<VerifiedManifest> manifest(Digest digest) {
        CompletableFuture<Optional<VerifiedManifest>> manifest = new CompletableFuture<>();
        relay.manifest(digest, manifest::complete);
        return manifest.join();
    }

    private static byte[] data(Digest version, int index) {
        byte[] data = new byte[CHUNK_BYTES];
        data[0] = (byte) index;
        data[1] = (byte) version.value().charAt(0);
        data[2] = (byte) version.value().charAt(1);
        return data;
    }
}
