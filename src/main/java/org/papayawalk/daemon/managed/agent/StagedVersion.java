package org.papayawalk.daemon.managed.agent;

import java.time.Instant;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;

/**
 * Version whose chunks are all staged at the engine. Immutable.
 *
 * @param version model and number
 * @param manifest manifest of the version
 * @param stagedAt when the version was found to be staged completely, on the monotonic clock
 */
record StagedVersion(WeightVersion version, Manifest manifest, Instant stagedAt) {}
