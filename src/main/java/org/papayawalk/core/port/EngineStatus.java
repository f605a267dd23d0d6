package org.papayawalk.core.port;

import org.papayawalk.core.id.Digest;

/**
 * Status that a model engine reports. Read from JSON under its component names. Immutable.
 *
 * @param incarnation start time of the engine process in milliseconds since the epoch
 * @param serving digest of the manifest that the engine serves, none if it serves no version
 * @param staged digest of the manifest that is staged and sealed, or none
 * @param running number of requests that are running
 * @param fencing highest fencing number that the engine has received
 */
public record EngineStatus(
        long incarnation, Digest serving, Digest staged, int running, long fencing) {}
