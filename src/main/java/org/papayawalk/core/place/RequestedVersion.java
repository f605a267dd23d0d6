package org.papayawalk.core.place;

import java.time.Instant;

/**
 * Version of a model's weights that the operator named. Immutable.
 *
 * @param number number of the version
 * @param receivedAt when this daemon learned of it; {@link Instant#MIN} if it was named before this
 *     daemon started
 */
public record RequestedVersion(int number, Instant receivedAt) {}
