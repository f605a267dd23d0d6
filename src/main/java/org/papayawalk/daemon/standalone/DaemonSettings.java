package org.papayawalk.daemon.standalone;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.settings.SettingsValidator;

/**
 * Settings of the daemon. Every flag has an environment variable: {@code --table-address} is {@code
 * PAPAYAWALK_TABLE_ADDRESS}. Filled once at start, read-only afterwards.
 */
public final class DaemonSettings {
    /** Role of an entry. */
    static final String ENTRY = "entry";

    /** Role of an agent. */
    static final String AGENT = "agent";

    /** Lowest memory for chunks in bytes. */
    private static final long MIN_CHUNK_MEMORY = 1L << 20;

    /** Highest body limit in bytes. */
    private static final int MAX_BODY_LIMIT = 64 << 20;

    /** Longest wait of a planned stop, in seconds. */
    private static final int MAX_DRAIN_SECONDS = 3600;

    /** Role. */
    @Parameter(names = "--role", description = "Role: entry or agent")
    String role;

    /** Host name. */
    @Parameter(names = "--host", description = "Name of this host in the host list")
    String host;

    /** Failure domain. */
    @Parameter(names = "--domain", description = "Failure domain of this host")
    String domain;

    /** Region. */
    @Parameter(names = "--region", description = "Region of the failure domain")
    String region = "main";

    /** Address for peers. */
    @Parameter(names = "--listen", description = "IP number and port to listen on for peers")
    String listen;

    /** Address for administration. */
    @Parameter(names = "--admin-listen", description = "IP number and port of /ready and /metrics")
    String adminListen;

    /** Table service. */
    @Parameter(names = "--table-address", description = "IP number and port of the table service")
    String tableAddress;

    /** Object store. */
    @Parameter(names = "--object-address", description = "IP number and port of the object store")
    String objectAddress;

    /** Host list. */
    @Parameter(names = "--host-list-address", description = "IP number and port of the host list")
    String hostListAddress;

    /** Seeds. */
    @Parameter(names = "--seed-peers", description = "Peers to ask while the host list is away")
    List<String> seedPeers = new ArrayList<>();

    /** Callers' address. */
    @Parameter(names = "--http-listen", description = "entry: IP number and port for callers")
    String httpListen;

    /** Largest body. */
    @Parameter(names = "--max-body-bytes", description = "entry: largest body of a request")
    int maxBodyBytes = 4 << 20;

    /** Notice before an entry stops. */
    @Parameter(
            names = "--drain-notice-millis",
            description = "entry: time between not-ready and the end of listening")
    int drainNoticeMillis = 2000;

    /** Fleet. */
    @Parameter(names = "--fleet", description = "agent: fleet of the upstream")
    String fleet = "";

    /** Upstream. */
    @Parameter(names = "--upstream-address", description = "agent: IP number and port of it")
    String upstreamAddress;

    /** Origin. */
    @Parameter(names = "--origin-address", description = "agent: IP number and port of the origin")
    String originAddress;

    /** Origin's region. */
    @Parameter(names = "--origin-region", description = "agent: region in which the origin stands")
    String originRegion = "main";

    /** Policy. */
    @Parameter(names = "--policy", description = "agent: time or bytes")
    String policy = "time";

    /** Uplink. */
    @Parameter(
            names = "--uplink-bytes-per-second",
            description = "agent: share of the link for sending weights")
    long uplinkBytesPerSecond = 100L << 20;

    /** Downlink. */
    @Parameter(
            names = "--downlink-bytes-per-second",
            description = "agent: share of the link for receiving weights")
    long downlinkBytesPerSecond = 100L << 20;

    /** Memory for chunks. */
    @Parameter(
            names = "--chunk-memory-bytes",
            description = "agent: memory outside the heap for chunks")
    long chunkMemoryBytes = 1L << 30;

    /** Longest planned stop. */
    @Parameter(
            names = "--drain-limit-seconds",
            description = "longest wait for requests in progress at a planned stop")
    int drainLimitSeconds = 150;

    /** Help. */
    @Parameter(names = "--help", help = true, description = "Show the settings and exit")
    boolean help;

    /** Version. */
    @Parameter(names = "--version", help = true, description = "Show the version and exit")
    boolean version;

    /**
     * Checks all settings.
     *
     * @return one text for each fault
     */
    List<String> faults() {
        SettingsValidator checks =
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
        seedPeers.forEach(s -> checks.address("--seed-peers", s));
        if (ENTRY.equals(role)) {
            checks.address("--http-listen", httpListen)
                    .between("--max-body-bytes", maxBodyBytes, 1, MAX_BODY_LIMIT)
                    .between("--drain-notice-millis", drainNoticeMillis, 0, 60_000);
        }
        if (AGENT.equals(role)) {
            checks.name("--fleet", fleet)
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
                            MIN_CHUNK_MEMORY,
                            Long.MAX_VALUE);
        }
        return checks.faults();
    }

    /**
     * Returns the policy.
     *
     * @return checked policy
     */
    DistributionPolicy distributionPolicy() {
        return "bytes".equals(policy) ? DistributionPolicy.BYTES : DistributionPolicy.TIME;
    }
}
