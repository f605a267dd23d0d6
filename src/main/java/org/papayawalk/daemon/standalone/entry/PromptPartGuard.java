package org.papayawalk.daemon.standalone.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartVerdict;
import org.papayawalk.core.suspect.PromptPartRegistry;

/**
 * Evidence on the parts of prompts that crash upstreams, by which {@link PromptPartCheck} keeps
 * requests with them from reaching further ones. Thread-safe. The verdict about a request without
 * parts is always clear.
 */
final class PromptPartGuard {
    /** Reason of a refusal. */
    static final String REASON =
            "poison request: upstreams crashed while they answered requests with the same message";

    /** Bound of the crashed processes whose parts are held. */
    private static final int MAX_PROCESSES = 512;

    private final PromptPartRegistry registry;

    /** Parts of the requests that each crashed process was answering, oldest first; guarded. */
    private final Map<String, Set<PromptPartId>> involved = new LinkedHashMap<>();

    /**
     * Creates a guard without evidence.
     *
     * @param self host of this entry
     * @param entries provides the hosts of the running entries, with or without this one
     */
    PromptPartGuard(HostId self, Supplier<List<HostId>> entries) {
        registry =
                new PromptPartRegistry(
                        part -> RendezvousHash.rank(self, entries.get(), part.value()) == 0);
    }

    /**
     * Begins a trial of a request whose verdict is {@link PartVerdict#TRIAL}.
     *
     * @param parts parts of the prompt of the request
     * @param now present time
     * @return false if a trial of one of the suspected parts has begun just before
     */
    boolean beginTrial(Collection<PromptPartId> parts, Instant now) {
        return registry.beginTrial(parts, now);
    }

    /**
     * Returns when the caller of a refused request may retry.
     *
     * @param parts parts of the prompt of the request
     * @param now present time
     * @return delay from now
     */
    Duration retryAfter(Collection<PromptPartId> parts, Instant now) {
        return registry.retryAfter(parts, now);
    }

    /**
     * Records that an upstream process crashed after it had begun to answer a request.
     *
     * @param parts parts of the prompt of the request
     * @param host host of the upstream
     * @param incarnation incarnation of the crashed process
     * @param now present time
     */
    void recordCrash(Collection<PromptPartId> parts, HostId host, long incarnation, Instant now) {
        UpstreamProcess process = new UpstreamProcess(new UpstreamId(host.value()), incarnation);
        registry.recordCrash(parts, process, now);
        synchronized (involved) {
            involved.computeIfAbsent(process.toString(), p -> new HashSet<>()).addAll(parts);
            if (involved.size() > MAX_PROCESSES) {
                involved.remove(involved.keySet().iterator().next());
            }
        }
    }

    /**
     * Returns how many crashes during a request are not explained by a suspected part that the
     * request lacks.
     *
     * @param parts parts of the prompt of the request
     * @param processes crashed processes, each as host and incarnation
     * @param now present time
     * @return number of crashes that may be the fault of the request
     */
    long unexplained(Collection<PromptPartId> parts, Set<String> processes, Instant now) {
        return processes.stream()
                .filter(
                        p ->
                                involvedIn(p).stream()
                                        .filter(q -> !parts.contains(q))
                                        .allMatch(
                                                q -> verdict(List.of(q), now) == PartVerdict.CLEAR))
                .count();
    }

    /**
     * Records that one upstream has answered a request completely.
     *
     * @param parts parts of the prompt of the request
     * @param begunAt when the answer began
     */
    void recordAnswer(Collection<PromptPartId> parts, Instant begunAt) {
        registry.recordAnswer(parts, begunAt);
    }

    /**
     * Returns the verdict about parts.
     *
     * @param parts parts of a prompt
     * @param now present time
     * @return verdict
     */
    PartVerdict verdict(Collection<PromptPartId> parts, Instant now) {
        return registry.verdict(parts, now);
    }

    private Set<PromptPartId> involvedIn(String process) {
        synchronized (involved) {
            return Set.copyOf(involved.getOrDefault(process, Set.of()));
        }
    }
}
