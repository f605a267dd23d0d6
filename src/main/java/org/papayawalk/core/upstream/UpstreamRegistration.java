package org.papayawalk.core.upstream;

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
 */
public record UpstreamRegistration(
        UpstreamId id,
        long incarnation,
        ServiceId service,
        String address,
        DomainId domain,
        int slots,
        boolean draining,
        Map<String, Integer> models) {

    /** Copies the models. */
    public UpstreamRegistration {
        models = Map.copyOf(models);
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
                id, incarnation, service, address, domain, slots, draining, changed);
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
