package org.papayawalk.daemon.standalone.entry;

import java.time.InstantSource;
import org.papayawalk.core.route.TokenBucketRetryBudget;
import org.papayawalk.core.suspect.SuspectRegistry;

/**
 * What the calls of one entry share. Immutable; its parts are thread-safe.
 *
 * @param dispatcher dispatches to agents
 * @param budget limits retries
 * @param suspects requests that crashed upstreams
 * @param clock clock
 */
record EntryServices(
        Dispatcher dispatcher,
        TokenBucketRetryBudget budget,
        SuspectRegistry suspects,
        InstantSource clock) {}
