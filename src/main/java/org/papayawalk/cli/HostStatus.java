package org.papayawalk.cli;

import java.util.List;

/**
 * State of one host, as reported by its daemon. Printed as JSON under its component names.
 * Immutable.
 *
 * @param host name of the host
 * @param domain failure domain
 * @param role role of the daemon in lower case, {@code entry} or {@code agent}
 * @param fleet fleet of the upstream, empty for an entry
 * @param reached whether the daemon responded; if not, the numbers and digests below are 0 or empty
 * @param configVersion version of the configuration in force on the host
 * @param wanted digest of the version that the configuration in force requires
 * @param serving digest of the version that the upstream reports
 * @param step rollout step in lower case, {@code unknown} if the daemon did not respond
 * @param chunksHeld number of chunks of the wanted version that the host holds
 * @param chunksTotal number of chunks of the wanted version
 * @param inFlight number of requests in progress
 * @param draining whether the daemon accepts no new work
 * @param atSheet whether the accepted configuration is in force and, on an agent, the upstream
 *     serves the wanted version
 * @param notes remarks of the daemon, such as what delays its rollout; if it did not respond, the
 *     error
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
