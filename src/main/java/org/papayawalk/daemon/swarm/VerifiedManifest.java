package org.papayawalk.daemon.swarm;

import org.papayawalk.core.weight.Manifest;

/**
 * Manifest together with the bytes whose digest identifies its version. Immutable by convention:
 * the bytes are not changed.
 *
 * @param data bytes as published
 * @param manifest manifest parsed from the bytes
 */
public record VerifiedManifest(byte[] data, Manifest manifest) {}
