package org.papayawalk.lab.standin;

import java.security.MessageDigest;
import java.util.Optional;
import java.util.TreeMap;
import org.papayawalk.adapter.VersionChange;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.weight.Manifest;

/** Versions of an engine stand-in: the one that serves and the one that is staged. Thread-safe. */
final class EngineVersions {
    /** Whether old fencing numbers are refused. */
    private final boolean checksFencing;

    /** Version that serves. */
    private Digest serving = Digest.NONE;

    /** Version that is being staged. */
    private Digest staging = Digest.NONE;

    /** Bytes written to the staging area, by their place. */
    private final TreeMap<Long, byte[]> stagedBytes = new TreeMap<>();

    /** Length of the version that is being staged. */
    private long stagedSizeBytes;

    /** Whether the staged version was sealed. */
    private boolean sealed;

    /** Role. */
    private String role = "serve";

    /** Highest fencing number. */
    private long highestFencing;

    /** Start time of the engine. */
    private long incarnation = System.currentTimeMillis();

    /**
     * Creates the versions of an engine that serves nothing.
     *
     * @param checksFencing whether old fencing numbers are refused
     */
    EngineVersions(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    /**
     * Returns the version that serves.
     *
     * @return digest, or none
     */
    synchronized Digest serving() {
        return serving;
    }

    /**
     * Reports the state.
     *
     * @param running requests that run
     * @return report
     */
    synchronized EngineStatus status(int running) {
        return new EngineStatus(
                incarnation, serving, sealed ? staging : Digest.NONE, running, highestFencing);
    }

    /** Forgets the staging area, as a crash does. What served is loaded again. */
    synchronized void crash() {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
        staging = Digest.NONE;
        stagedBytes.clear();
        sealed = false;
    }

    /**
     * Begins staging, or goes on with it.
     *
     * @param digest digest of the manifest
     * @param manifest manifest
     */
    synchronized void beginStaging(Digest digest, Manifest manifest) {
        if (!digest.equals(staging)) {
            staging = digest;
            stagedBytes.clear();
            stagedSizeBytes = manifest.sizeBytes();
            sealed = false;
        }
    }

    /**
     * Writes to the staging area.
     *
     * @param digest digest of the manifest
     * @param offset place in bytes
     * @param data bytes
     * @return false if another version is being staged
     */
    synchronized boolean writeStaged(Digest digest, long offset, byte[] data) {
        if (!digest.equals(staging) || offset + data.length > stagedSizeBytes) {
            return false;
        }
        stagedBytes.put(offset, data);
        return true;
    }

    /**
     * Seals the staged version.
     *
     * @param digest digest of the manifest
     * @return digest of the whole weights, or empty if another version is being staged
     */
    synchronized Optional<Digest> seal(Digest digest) {
        if (!digest.equals(staging)) {
            return Optional.empty();
        }
        sealed = true;
        MessageDigest sum = Digest.newSha256();
        stagedBytes.values().forEach(sum::update);
        return Optional.of(Digest.finish(sum, new byte[0]));
    }

    /**
     * Changes the version that serves.
     *
     * @param change order
     * @return empty if it was carried out, else why not
     */
    synchronized Optional<String> changeVersion(VersionChange change) {
        Optional<String> old = acceptFencing(change.fencing());
        if (old.isPresent()) {
            return old;
        }
        if (!change.expected().equals(serving)) {
            return Optional.of("another version serves");
        }
        if (!sealed || !change.target().equals(staging)) {
            return Optional.of("the version is not staged and sealed");
        }
        serving = change.target();
        staging = Digest.NONE;
        stagedBytes.clear();
        sealed = false;
        return Optional.empty();
    }

    /**
     * Changes the role.
     *
     * @param change order
     * @return empty if it was carried out, else why not
     */
    synchronized Optional<String> changeRole(RoleChange change) {
        Optional<String> old = acceptFencing(change.fencing());
        if (old.isEmpty()) {
            role = change.role();
        }
        return old;
    }

    /**
     * Returns the role.
     *
     * @return role, {@code serve} at first
     */
    synchronized String role() {
        return role;
    }

    /**
     * Checks and notes the fencing number of an order.
     *
     * @param number number of the order
     * @return empty if the order may be carried out, else why not
     */
    private Optional<String> acceptFencing(long number) {
        if (checksFencing && number <= highestFencing) {
            return Optional.of(
                    "fencing number %d is not above %d".formatted(number, highestFencing));
        }
        highestFencing = Math.max(highestFencing, number);
        return Optional.empty();
    }

    @Override
    public synchronized String toString() {
        return "%d bytes of %s".formatted(stagedSizeBytes, staging.shortText());
    }
}
