package org.papayawalk.daemon.agent;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.daemon.ControlThread;

/**
 * Seeks the manifest of one version until it is found or another version is sought. Not
 * thread-safe: confined to the weights thread.
 */
final class ManifestSeeker {
    /** Pause between attempts. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

    /** Finds manifests. */
    private final ManifestFinder finder;

    /** Weights thread. */
    private final ControlThread thread;

    /** Version sought, none if the last search has ended. */
    private Digest sought = Digest.NONE;

    /**
     * Creates a seeker.
     *
     * @param finder finds manifests
     * @param thread weights thread
     */
    ManifestSeeker(ManifestFinder finder, ControlThread thread) {
        this.finder = finder;
        this.thread = thread;
    }

    /**
     * Seeks a manifest unless that is under way. An earlier search for another version ends.
     *
     * @param digest digest of the manifest
     * @param peers hosts that want the version, asked before each attempt
     * @param found takes the manifest on the weights thread
     * @param failed takes the reason why an attempt failed
     */
    void seek(
            Digest digest,
            Supplier<List<SwarmPeer>> peers,
            Consumer<FoundManifest> found,
            Consumer<String> failed) {
        if (!digest.equals(sought)) {
            sought = digest;
            attempt(0, digest, peers, found, failed);
        }
    }

    /** Ends the search. */
    void stop() {
        sought = Digest.NONE;
    }

    /**
     * Makes an attempt.
     *
     * @param number number of earlier attempts
     * @param digest digest of the manifest
     * @param peers hosts that want the version
     * @param found takes the manifest
     * @param failed takes the reason of a failure
     */
    private void attempt(
            int number,
            Digest digest,
            Supplier<List<SwarmPeer>> peers,
            Consumer<FoundManifest> found,
            Consumer<String> failed) {
        finder.find(digest, peers.get(), number)
                .thenAccept(
                        result ->
                                thread.execute(
                                        () -> {
                                            if (!digest.equals(sought)) {
                                                return;
                                            }
                                            if (result.isRight()) {
                                                stop();
                                                found.accept(result.get());
                                                return;
                                            }
                                            failed.accept(result.getLeft().toString());
                                            thread.schedule(
                                                    RETRY_PAUSE,
                                                    () ->
                                                            retry(
                                                                    number, digest, peers, found,
                                                                    failed));
                                        }));
    }

    /**
     * Makes the next attempt if the version is still sought.
     *
     * @param number number of the attempt that failed
     * @param digest digest of the manifest
     * @param peers hosts that want the version
     * @param found takes the manifest
     * @param failed takes the reason of a failure
     */
    private void retry(
            int number,
            Digest digest,
            Supplier<List<SwarmPeer>> peers,
            Consumer<FoundManifest> found,
            Consumer<String> failed) {
        if (digest.equals(sought)) {
            attempt(number + 1, digest, peers, found, failed);
        }
    }
}
