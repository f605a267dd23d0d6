package org.papayawalk.daemon.standalone.entry;

import java.time.InstantSource;
import org.papayawalk.core.route.TokenBucketRetryBudget;

/**
 * Collaborators shared by all calls of one entry. Immutable; its components are thread-safe.
 *
 * @param dispatcher dispatcher of requests to agents
 * @param retryBudget limit on the retries of all calls together
 * @param suspects evidence on requests that crash upstreams
 * @param promptParts evidence on parts of prompts that crash upstreams
 * @param clock clock that deadlines are compared with
 */
record EntryServices(
        Dispatcher dispatcher,
        TokenBucketRetryBudget retryBudget,
        SuspectGuard suspects,
        PromptPartGuard promptParts,
        InstantSource clock) {}
