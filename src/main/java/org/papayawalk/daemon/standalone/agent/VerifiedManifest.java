package org.papayawalk.daemon.standalone.agent;

import org.papayawalk.core.weight.Manifest;

/**
 * Manifest with the bytes whose digest names it. Immutable by convention: the bytes are not
 * changed.
 *
 * @param data bytes as they were published
 * @param manifest their content
 */
public record VerifiedManifest(byte[] data, Manifest manifest) {}
