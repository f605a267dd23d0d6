package org.papayawalk.lab.standin;

import java.security.MessageDigest;
import java.util.Optional;
import java.util.TreeMap;
import org.papayawalk.adapter.standalone.EngineSwitchRequest;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.weight.Manifest;

/**
 * Served version, staging area, role and fencing number of an engine stand-in. Thread-safe: one
 * lock.
 */
final class EngineVersions {
    private final boolean checksFencing;
    private Digest serving = Digest.NONE;

    // Version in the staging area, NONE if the area is empty.
    private Digest staging = Digest.NONE;

    // Chunks by their offset in bytes.
    private final TreeMap<Long, byte[]> stagedBytes = new TreeMap<>();

    // Size of the whole version in the staging area.
    private long stagedSizeBytes;

    private boolean sealed;
    private String role = "serve";
    private long highestFencing;

    // Start time in milliseconds since the epoch; every crash increases it.
    private long incarnation = System.currentTimeMillis();

    /**
     * Creates the state of an engine that serves no version.
     *
     * @param checksFencing whether old fencing numbers are refused
     */
    EngineVersions(boolean checksFencing) {
        this.checksFencing = checksFencing;
    }

    /**
     * Returns the version that is served.
     *
     * @return digest of its manifest, {@link Digest#NONE} if no version is served
     */
    synchronized Digest serving() {
        return serving;
    }

    /**
     * Returns the state as the engine protocol reports it. A staged version is reported only once
     * it is sealed.
     *
     * @param running number of requests that run
     * @return status
     */
    synchronized EngineStatus status(int running) {
        return new EngineStatus(
                incarnation, serving, sealed ? staging : Digest.NONE, running, highestFencing);
    }

    /**
     * Simulates a crash and restart: clears the staging area and increases the incarnation. The
     * served version stays, as the engine loads it again.
     */
    synchronized void crash() {
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
        staging = Digest.NONE;
        stagedBytes.clear();
        sealed = false;
    }

    /**
     * Begins to stage a version. Replaces another version in the staging area; resumes staging of
     * the same version.
     *
     * @param digest digest of the manifest
     * @param manifest manifest of the version
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
     * Writes a chunk to the staging area.
     *
     * @param digest digest of the manifest
     * @param offset offset of the chunk in bytes
     * @param data content of the chunk
     * @return false if another version is being staged or the chunk ends behind the version
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
     * @return digest of all staged bytes in the order of their offsets, or empty if another version
     *     is being staged
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
     * Switches the served version to the sealed version in the staging area.
     *
     * @param change command with the version expected to be served
     * @return empty if the command was executed, else the reason of the refusal
     */
    synchronized Optional<String> changeVersion(EngineSwitchRequest change) {
        Optional<String> refusal = acceptFencing(change.fencing());
        if (refusal.isPresent()) {
            return refusal;
        }
        if (!change.expected().equals(serving)) {
            return Optional.of(
                    "engine serves version \"%s\", expected \"%s\""
                            .formatted(serving, change.expected()));
        }
        if (!sealed || !change.target().equals(staging)) {
            return Optional.of(
                    "version \"%s\" is not staged and sealed; staging area holds %s"
                            .formatted(change.target(), this));
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
     * @param change command
     * @return empty if the command was executed, else the reason of the refusal
     */
    synchronized Optional<String> changeRole(RoleChange change) {
        Optional<String> refusal = acceptFencing(change.fencing());
        if (refusal.isEmpty()) {
            role = change.role();
        }
        return refusal;
    }

    /**
     * Returns the role.
     *
     * @return role, {@code serve} before the first change
     */
    synchronized String role() {
        return role;
    }

    private Optional<String> acceptFencing(long number) {
        if (checksFencing && number <= highestFencing) {
            return Optional.of(
                    "fencing number %d is not above the highest accepted number %d"
                            .formatted(number, highestFencing));
        }
        highestFencing = Math.max(highestFencing, number);
        return Optional.empty();
    }

    @Override
    public synchronized String toString() {
        return "version \"%s\" of %d bytes".formatted(staging.shortText(), stagedSizeBytes);
    }
}
