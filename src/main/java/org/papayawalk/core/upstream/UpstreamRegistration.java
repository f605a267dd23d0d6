package org.papayawalk.core.upstream;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Registration that an upstream writes to the platform's store. Immutable.
 *
 * @param id name under which the upstream registered
 * @param incarnation start of its process in milliseconds since the epoch, 0 if not given
 * @param service service that it belongs to
 * @param address IP address and port, separated by a colon
 * @param domain failure domain of its host
 * @param slots requests that it executes concurrently, at least 1
 * @param draining whether it announced its shutdown and takes no new requests
 * @param models version of each model that it serves, by name of the model
 * @param coldUntil until when its process is cold and takes few requests, by the clock of this
 *     daemon; {@link Instant#MIN} if it is not cold
 */
public record UpstreamRegistration(
        UpstreamId id,
        long incarnation,
        ServiceId service,
        String address,
        DomainId domain,
        int slots,
        boolean draining,
        Map<String, Integer> models,
        Instant coldUntil) {

    /** Copies the models. */
    public UpstreamRegistration {
        models = Map.copyOf(models);
    }

    /**
     * Creates the registration of an upstream that is not cold.
     *
     * @param id see the component
     * @param incarnation see the component
     * @param service see the component
     * @param address see the component
     * @param domain see the component
     * @param slots see the component
     * @param draining see the component
     * @param models see the component
     */
    public UpstreamRegistration(
            UpstreamId id,
            long incarnation,
            ServiceId service,
            String address,
            DomainId domain,
            int slots,
            boolean draining,
            Map<String, Integer> models) {
        this(id, incarnation, service, address, domain, slots, draining, models, Instant.MIN);
    }

    /**
     * Returns the process that the registration describes.
     *
     * @return process
     */
    public UpstreamProcess process() {
        return new UpstreamProcess(id, incarnation);
    }

    /**
     * Returns whether another registration belongs to the same process.
     *
     * @param other registration to compare
     * @return true if id, incarnation and address are the same
     */
    public boolean sameProcess(UpstreamRegistration other) {
        return id.equals(other.id)
                && incarnation == other.incarnation
                && address.equals(other.address);
    }

    /**
     * Returns this registration with another version of a model.
     *
     * @param model name of the model
     * @param version version that the upstream serves
     * @return copy
     */
    public UpstreamRegistration withVersion(String model, int version) {
        Map<String, Integer> changed = new HashMap<>(models);
        changed.put(model, version);
        return new UpstreamRegistration(
                id, incarnation, service, address, domain, slots, draining, changed, coldUntil);
    }

    /**
     * Returns this registration with another end of the time in which the upstream is cold.
     *
     * @param until time by the clock of this daemon
     * @return copy
     */
    public UpstreamRegistration withColdUntil(Instant until) {
        return new UpstreamRegistration(
                id, incarnation, service, address, domain, slots, draining, models, until);
    }

    /**
     * Returns whether the upstream is cold.
     *
     * @param now present time
     * @return true if it takes few requests at present
     */
    public boolean isCold(Instant now) {
        return coldUntil.isAfter(now);
    }

    /**
     * Returns the IP address.
     *
     * @return address without its port
     */
    public String ip() {
        return address.substring(0, address.lastIndexOf(':'));
    }
}
