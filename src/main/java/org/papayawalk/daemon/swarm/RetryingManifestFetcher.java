package org.papayawalk.daemon.swarm;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.daemon.ControlThread;

/**
 * Retries fetching the manifest of one version until an attempt succeeds or another version is
 * requested.
 *
 * <p>Not thread-safe: confined to the weights thread.
 */
final class RetryingManifestFetcher {
    /** Delay between a failed attempt and the next one. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Delay of the first retries, as the first host usually has the manifest soon. */
    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(25);

    private static final int FIRST_RETRIES = 4;

    private final ManifestFetcher fetcher;

    private final ControlThread thread;

    /** None if no fetch is in progress. */
    private Digest requested = Digest.NONE;

    /**
     * Creates a fetcher without a requested version.
     *
     * @param fetcher makes the attempts
     * @param thread weights thread
     */
    RetryingManifestFetcher(ManifestFetcher fetcher, ControlThread thread) {
        this.fetcher = fetcher;
        this.thread = thread;
    }

    /**
     * Starts to fetch a manifest unless that is in progress. Cancels the fetch of another version.
     *
     * @param digest digest of the manifest
     * @param peers provides the hosts that want the version, called before each attempt
     * @param onSuccess receives the manifest on the weights thread
     * @param onFailure receives the reason of each failed attempt on the weights thread
     */
    void fetch(
            Digest digest,
            Supplier<List<SwarmPeer>> peers,
            Consumer<VerifiedManifest> onSuccess,
            Consumer<String> onFailure) {
        if (!digest.equals(requested)) {
            requested = digest;
            attempt(0, digest, peers, onSuccess, onFailure);
        }
    }

    /** Cancels the fetch in progress, if there is one. Its result is ignored. */
    void cancel() {
        requested = Digest.NONE;
    }

    private void attempt(
            int number,
            Digest digest,
            Supplier<List<SwarmPeer>> peers,
            Consumer<VerifiedManifest> onSuccess,
            Consumer<String> onFailure) {
        fetcher.fetch(digest, peers.get(), number)
                .thenAccept(
                        result ->
                                thread.execute(
                                        () -> {
                                            if (!digest.equals(requested)) {
                                                return;
                                            }
                                            if (result.isRight()) {
                                                cancel();
                                                onSuccess.accept(result.get());
                                                return;
                                            }
                                            onFailure.accept(result.getLeft().toString());
                                            thread.schedule(
                                                    retryDelay(number),
                                                    () ->
                                                            retry(
                                                                    number, digest, peers,
                                                                    onSuccess, onFailure));
                                        }));
    }

    private static Duration retryDelay(int number) {
        return number < FIRST_RETRIES ? FIRST_RETRY_DELAY : RETRY_DELAY;
    }

    private void retry(
            int number,
            Digest digest,
            Supplier<List<SwarmPeer>> peers,
            Consumer<VerifiedManifest> onSuccess,
            Consumer<String> onFailure) {
        if (digest.equals(requested)) {
            attempt(number + 1, digest, peers, onSuccess, onFailure);
        }
    }
}
