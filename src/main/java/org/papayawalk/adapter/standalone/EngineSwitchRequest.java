package org.papayawalk.adapter.standalone;

import org.papayawalk.core.id.Digest;

/**
 * Body of an order to change the serving version. Immutable.
 *
 * @param expected version that the engine must still serve, none if it serves nothing
 * @param target version to change to
 * @param fencing fencing number of the order
 */
public record EngineSwitchRequest(Digest expected, Digest target, long fencing) {}
