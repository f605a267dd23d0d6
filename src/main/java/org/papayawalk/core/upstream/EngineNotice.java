package org.papayawalk.core.upstream;

/**
 * What an agent tells entries of the engine beside it, ahead of the engine's own registration.
 * Immutable.
 *
 * @param address IP address and port of the engine
 * @param incarnation start of the engine process in milliseconds since the epoch
 * @param model model that the engine serves or loads
 * @param served version that it serves, 0 if none
 * @param loading version that it is ordered to load, during which it takes no new requests; 0 if
 *     none
 */
public record EngineNotice(
        String address, long incarnation, String model, int served, int loading) {

    /**
     * Returns whether the notice is about the process of a registration.
     *
     * @param registration registration of an upstream
     * @return true if address and incarnation are the same
     */
    public boolean concerns(UpstreamRegistration registration) {
        return address.equals(registration.address()) && incarnation == registration.incarnation();
    }
}
