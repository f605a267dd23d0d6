package org.papayawalk.core.place;

import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Upstream that a {@link PlacementRule} may choose for a request. The components never change; the
 * load is mutable and confined to the event loop thread.
 *
 * @param upstream registration of the upstream
 * @param load load and health of the upstream as measured by this entry
 */
public record PlacementCandidate(UpstreamRegistration upstream, UpstreamLoad load) {}
