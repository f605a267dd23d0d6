package org.papayawalk.core.place;

import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Upstream that may take a request. Immutable but for its load.
 *
 * @param upstream upstream
 * @param load load and health as this entry sees them
 */
public record PlacementCandidate(UpstreamRegistration upstream, UpstreamLoad load) {}
