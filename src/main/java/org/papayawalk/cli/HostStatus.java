package org.papayawalk.cli;

import java.util.List;

/**
 * State of one host as told by its daemon. Immutable.
 *
 * @param host name of the host
 * @param domain failure domain
 * @param role role of the daemon
 * @param fleet fleet of its upstream, empty for an entry
 * @param reached whether the daemon answered; all that follows is unknown if not
 * @param configVersion configuration in force on it
 * @param wanted digest that its configuration wants
 * @param serving digest that its upstream reports
 * @param step rollout step, {@code unknown} if it did not answer
 * @param chunksHeld chunks of the wanted version held
 * @param chunksTotal chunks of the wanted version
 * @param inFlight requests in progress
 * @param draining whether it takes no new work
 * @param atSheet whether it has reached the accepted sheet
 * @param notes remarks, such as what keeps it behind
 */
record HostStatus(
        String host,
        String domain,
        String role,
        String fleet,
        boolean reached,
        long configVersion,
        String wanted,
        String serving,
        String step,
        int chunksHeld,
        int chunksTotal,
        int inFlight,
        boolean draining,
        boolean atSheet,
        List<String> notes) {}
