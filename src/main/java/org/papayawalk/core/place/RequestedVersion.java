package org.papayawalk.core.place;

import java.time.Instant;

/**
 * Version of a model's weights that the operator requested. Immutable.
 *
 * @param number version number
 * @param receivedAt when this daemon received the request; {@link Instant#MIN} if it was made
 *     before this daemon first read the operator's table
 */
public record RequestedVersion(int number, Instant receivedAt) {}
