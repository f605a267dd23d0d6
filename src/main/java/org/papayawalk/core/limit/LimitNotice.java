package org.papayawalk.core.limit;

import java.time.Duration;
import java.util.OptionalDouble;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * What an entry tells the others of the limit of an upstream, as an answer to itself stated it.
 * Immutable.
 *
 * @param process upstream process
 * @param perSecond requests per second that it takes from all entries together, 0 or more; empty if
 *     the limit has ended
 * @param age time since the answer that stated the limit, or since the request whose answer stated
 *     none
 */
public record LimitNotice(UpstreamProcess process, OptionalDouble perSecond, Duration age) {}
