package org.papayawalk.daemon.managed.agent;

import java.time.Instant;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;

/**
 * Version whose chunks are all staged at the engine. Immutable.
 *
 * @param version version
 * @param manifest its manifest
 * @param stagedAt when the last chunk was staged
 */
record StagedVersion(WeightVersion version, Manifest manifest, Instant stagedAt) {}
