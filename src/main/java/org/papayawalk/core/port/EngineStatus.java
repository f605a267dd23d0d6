package org.papayawalk.core.port;

import org.papayawalk.core.id.Digest;

/**
 * What a model engine reports of itself. Immutable.
 *
 * @param incarnation start time of its process in milliseconds since the epoch
 * @param serving digest of the manifest that it serves, none if it serves nothing
 * @param staged digest of the manifest that stands sealed beside it, or none
 * @param running requests that it runs
 * @param fencing highest fencing number that it was given
 */
public record EngineStatus(
        long incarnation, Digest serving, Digest staged, int running, long fencing) {}
