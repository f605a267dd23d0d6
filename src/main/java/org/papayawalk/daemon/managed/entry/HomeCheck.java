package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.function.Predicate;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.Homes;
import org.papayawalk.core.desired.RequestAuthorizer;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Checks whether an upstream lies in the homes of one request. While the request waits or is
 * repeated, further desired states may come into force; the homes of each bind it from then on, and
 * those of the earlier ones still do. Confined to the event loop thread.
 */
final class HomeCheck {
    private final EntryContext entry;

    private final CallerRequest request;

    private final Optional<String> apiKey;

    private Homes homes;

    /** Version of the desired state that the homes include. */
    private long checkedVersion;

    /**
     * Creates the check of a request.
     *
     * @param entry shared state of the entry
     * @param request request of the caller
     * @param homes homes by the desired state in force
     * @param apiKey API key of the request, empty if it carries none
     */
    HomeCheck(EntryContext entry, CallerRequest request, Homes homes, Optional<String> apiKey) {
        this.entry = entry;
        this.request = request;
        this.homes = homes;
        this.apiKey = apiKey;
        this.checkedVersion = entry.upstreams().snapshot().desired().orElseThrow().version();
    }

    /**
     * Returns the homes of the request.
     *
     * @return regions that all desired states since the receipt of the request allow
     */
    Homes homes() {
        DesiredState desired = entry.upstreams().snapshot().desired().orElseThrow();
        if (desired.version() != checkedVersion) {
            checkedVersion = desired.version();
            String host = request.head().headers().get(HttpHeaderNames.HOST);
            homes = homes.and(RequestAuthorizer.homes(desired, host, request.head().uri(), apiKey));
        }
        return homes;
    }

    /**
     * Returns whether the homes exclude any region.
     *
     * @return false if the request may be served everywhere
     */
    boolean binds() {
        return homes().regions().isPresent();
    }

    /**
     * Returns the test of upstreams.
     *
     * @return test that is true for an upstream in a region that the homes allow
     */
    Predicate<UpstreamRegistration> allowed() {
        Homes present = homes();
        return r -> present.allow(entry.region(r.domain()));
    }
}
