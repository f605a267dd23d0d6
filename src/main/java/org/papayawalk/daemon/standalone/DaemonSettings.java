package org.papayawalk.daemon.standalone;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.settings.SettingsValidator;

/**
 * Settings of a stand-alone daemon. Each flag that is not given takes its value from an environment
 * variable, such as {@code PAPAYAWALK_TABLE_ADDRESS} for {@code --table-address}. The command-line
 * parser sets the fields at start; they are read-only afterwards.
 */
public final class DaemonSettings {
    /** Value of {@code --role} for an entry. */
    static final String ENTRY = "entry";

    /** Value of {@code --role} for an agent. */
    static final String AGENT = "agent";

    private static final long MIN_CHUNK_MEMORY_BYTES = 1L << 20;

    private static final int MAX_BODY_LIMIT_BYTES = 64 << 20;

    private static final int MAX_DRAIN_SECONDS = 3600;

    /** Either {@link #ENTRY} or {@link #AGENT}. */
    @Parameter(names = "--role", description = "Role: entry or agent")
    String role;

    /** Name of this host in the host list. */
    @Parameter(names = "--host", description = "Name of this host in the host list")
    String host;

    /** Failure domain of this host; {@link DomainCheck} compares it with the host list. */
    @Parameter(names = "--domain", description = "Failure domain of this host")
    String domain;

    /** Region that the failure domain belongs to. */
    @Parameter(names = "--region", description = "Region of the failure domain")
    String region = "main";

    /** Address on which this daemon accepts connections from other daemons. */
    @Parameter(names = "--listen", description = "IP address and port to listen on for peers")
    String listen;

    /** Address of the {@link AdminEndpoint}. */
    @Parameter(names = "--admin-listen", description = "IP address and port of /ready and /metrics")
    String adminListen;

    /** Address of the platform's table service. */
    @Parameter(names = "--table-address", description = "IP address and port of the table service")
    String tableAddress;

    /** Address of the platform's object store. */
    @Parameter(names = "--object-address", description = "IP address and port of the object store")
    String objectAddress;

    /** Address of the platform's host list. */
    @Parameter(names = "--host-list-address", description = "IP address and port of the host list")
    String hostListAddress;

    /** Addresses of daemons to query until a host list was received, may be empty. */
    @Parameter(
            names = "--seed-peers",
            description = "Peers to query while the host list is unavailable at the start")
    List<String> seedPeers = new ArrayList<>();

    /** Address on which an entry accepts requests of callers. */
    @Parameter(names = "--http-listen", description = "entry: IP address and port for callers")
    String httpListen;

    /** Maximum size of a request body in bytes, 1 byte to 64 MiB. */
    @Parameter(names = "--max-body-bytes", description = "entry: largest body of a request")
    int maxBodyBytes = 4 << 20;

    /**
     * Time for which a stopping entry reports that it is not ready but still listens, in
     * milliseconds, 0 to 60,000.
     */
    @Parameter(
            names = "--drain-notice-millis",
            description = "entry: time between not-ready and the end of listening")
    int drainNoticeMillis = 2000;

    /** Fleet of the agent's upstream, empty for an entry. */
    @Parameter(names = "--fleet", description = "agent: fleet of the upstream")
    String fleet = "";

    /** Address of the agent's upstream. */
    @Parameter(
            names = "--upstream-address",
            description = "agent: IP address and port of the upstream")
    String upstreamAddress;

    /** Address of the origin of weights. */
    @Parameter(names = "--origin-address", description = "agent: IP address and port of the origin")
    String originAddress;

    /** Region of the origin; its hosts fetch weights from the origin first. */
    @Parameter(names = "--origin-region", description = "agent: region of the origin")
    String originRegion = "main";

    /** Distribution policy for weights, {@code time} or {@code bytes}. */
    @Parameter(
            names = "--policy",
            description = "agent: goal of weight distribution, time or bytes (from the origin)")
    String policy = "time";

    /** Maximum rate at which weights are sent, in bytes per second. */
    @Parameter(
            names = "--uplink-bytes-per-second",
            description = "agent: share of the link for sending weights")
    long uplinkBytesPerSecond = 100L << 20;

    /** Maximum rate at which weights are received, in bytes per second. */
    @Parameter(
            names = "--downlink-bytes-per-second",
            description = "agent: share of the link for receiving weights")
    long downlinkBytesPerSecond = 100L << 20;

    /** Memory outside the heap for chunks of weights in bytes, at least 1 MiB. */
    @Parameter(
            names = "--chunk-memory-bytes",
            description = "agent: memory outside the heap for chunks")
    long chunkMemoryBytes = 1L << 30;

    /** Maximum time that a planned stop waits for requests in progress, in seconds, 1 to 3600. */
    @Parameter(
            names = "--drain-limit-seconds",
            description = "longest wait for requests in progress at a planned stop")
    int drainLimitSeconds = 150;

    /** Whether to print the flags and exit. */
    @Parameter(names = "--help", help = true, description = "Show the settings and exit")
    boolean help;

    /** Whether to print the version and exit. */
    @Parameter(names = "--version", help = true, description = "Show the version and exit")
    boolean version;

    /**
     * Validates the settings that the role uses.
     *
     * @return one error message per invalid setting, empty if all are valid
     */
    List<String> faults() {
        SettingsValidator validator =
                new SettingsValidator()
                        .require(
                                ENTRY.equals(role) || AGENT.equals(role),
                                "--role",
                                role,
                                "is neither \"entry\" nor \"agent\"")
                        .name("--host", host)
                        .name("--domain", domain)
                        .name("--region", region)
                        .address("--listen", listen)
                        .address("--admin-listen", adminListen)
                        .address("--table-address", tableAddress)
                        .address("--object-address", objectAddress)
                        .address("--host-list-address", hostListAddress)
                        .between("--drain-limit-seconds", drainLimitSeconds, 1, MAX_DRAIN_SECONDS);
        seedPeers.forEach(s -> validator.address("--seed-peers", s));
        if (ENTRY.equals(role)) {
            validator
                    .address("--http-listen", httpListen)
                    .between("--max-body-bytes", maxBodyBytes, 1, MAX_BODY_LIMIT_BYTES)
                    .between("--drain-notice-millis", drainNoticeMillis, 0, 60_000);
        }
        if (AGENT.equals(role)) {
            validator
                    .name("--fleet", fleet)
                    .address("--upstream-address", upstreamAddress)
                    .address("--origin-address", originAddress)
                    .name("--origin-region", originRegion)
                    .require(
                            "time".equals(policy) || "bytes".equals(policy),
                            "--policy",
                            policy,
                            "is neither \"time\" nor \"bytes\"")
                    .between("--uplink-bytes-per-second", uplinkBytesPerSecond, 1, Long.MAX_VALUE)
                    .between(
                            "--downlink-bytes-per-second",
                            downlinkBytesPerSecond,
                            1,
                            Long.MAX_VALUE)
                    .between(
                            "--chunk-memory-bytes",
                            chunkMemoryBytes,
                            MIN_CHUNK_MEMORY_BYTES,
                            Long.MAX_VALUE);
        }
        return validator.faults();
    }

    /**
     * Returns the distribution policy for weights.
     *
     * @return policy; {@code TIME} if the setting is invalid
     */
    DistributionPolicy distributionPolicy() {
        return "bytes".equals(policy) ? DistributionPolicy.BYTES : DistributionPolicy.TIME;
    }
}
