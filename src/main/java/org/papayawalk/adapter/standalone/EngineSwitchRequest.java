package org.papayawalk.adapter.standalone;

import org.papayawalk.core.id.Digest;

/**
 * Body of a request to switch the version that an engine serves. Immutable.
 *
 * @param expected version that the engine must still serve, none if it serves nothing
 * @param target version to switch to
 * @param fencing fencing number of the request
 */
public record EngineSwitchRequest(Digest expected, Digest target, long fencing) {}
