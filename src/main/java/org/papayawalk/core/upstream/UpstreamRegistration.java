package org.papayawalk.core.upstream;

import java.util.Map;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;

/**
 * What an upstream says of itself in the platform's list. Immutable.
 *
 * @param id name under which it registered
 * @param incarnation start of its process in milliseconds since the epoch, 0 if not given
 * @param service service that it belongs to
 * @param address IP number and port
 * @param domain failure domain that it stands in
 * @param slots requests that it works on at once, at least 1
 * @param draining whether it has announced that it leaves
 * @param models version of each model that it serves
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
     * Tells whether another entry is of the same process.
     *
     * @param other entry to compare
     * @return true if id, incarnation and address are the same
     */
    public boolean sameProcess(UpstreamRegistration other) {
        return id.equals(other.id)
                && incarnation == other.incarnation
                && address.equals(other.address);
    }

    /**
     * Returns the IP number.
     *
     * @return address without its port
     */
    public String ip() {
        return address.substring(0, address.lastIndexOf(':'));
    }
}
