package org.papayawalk.lab.requests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.config.CallPattern;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.HostState;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.core.weight.SwarmPlannerFactory;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.daemon.swarm.WeightSettings;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.LabEntry;
import org.papayawalk.lab.cluster.LabPlatform;
import org.papayawalk.lab.cluster.LoopbackAddresses;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.PublishRequest;
import org.papayawalk.lab.standin.PublishedVersion;
import org.papayawalk.lab.standin.ServiceStandIn;

/**
 * Cluster of two entries, model hosts and service hosts in three failure domains. The set of hosts
 * is fixed. Thread-safe.
 */
public final class RequestsCluster implements AutoCloseable {
    /** Fleet name of the model hosts. */
    public static final String MODEL_FLEET = "helper";

    /** Fleet name of the service hosts. */
    public static final String SERVICE_FLEET = "orders";

    private static final int DOMAINS = 3;

    // Rate of every link, of the origin and of the agents in both directions.
    private static final double LINK_BYTES_PER_SECOND = 64 << 20;

    // For each agent.
    private static final long CHUNK_MEMORY_BYTES = 4 << 20;

    private static final long START_TIMEOUT_SECONDS = 20;
    private static final RegionId REGION = new RegionId("main");

    private final LabPlatform platform;
    private final List<LabAgent> modelAgents = new ArrayList<>();
    private final List<LabAgent> serviceAgents = new ArrayList<>();
    private final List<LabEntry> entries = new ArrayList<>();
    private final PublishedVersion version;

    /**
     * Starts all hosts and waits until they serve.
     *
     * @param modelHosts number of model hosts
     * @param serviceHosts number of service hosts
     * @param engineSettings settings of all engines
     * @param maxInFlight maximum number of in-flight requests per upstream
     * @param seed seed of the weights and of the injected faults
     * @throws IOException if a server cannot listen on its address
     * @throws InterruptedException if the thread is interrupted
     * @throws IllegalStateException if a host does not serve within 20 s
     */
    public RequestsCluster(
            int modelHosts,
            int serviceHosts,
            EngineSettings engineSettings,
            int maxInFlight,
            long seed)
            throws IOException, InterruptedException {
        List<HostRecord> records = new ArrayList<>();
        for (int i = 0; i < modelHosts; i++) {
            records.add(hostRecord("model-" + i, i, MODEL_FLEET));
        }
        for (int i = 0; i < serviceHosts; i++) {
            records.add(hostRecord("service-" + i, i, SERVICE_FLEET));
        }
        for (int i = 0; i < 2; i++) {
            records.add(hostRecord("entry-" + i, i, ""));
        }
        platform = new LabPlatform(records, LINK_BYTES_PER_SECOND, seed);
        version =
                PublishedVersion.generate(
                        new PublishRequest("ube-helper", "", "1", 64 << 10, 16 << 10, seed));
        platform.origin().publish(version);
        for (HostRecord r : records) {
            startHost(r, engineSettings);
        }
        platform.applyConfig(fleetSpecs(maxInFlight));
        awaitServing();
    }

    /**
     * Returns the platform.
     *
     * @return shared stand-ins, clock and threads
     */
    public LabPlatform platform() {
        return platform;
    }

    /**
     * Returns the agents of the model hosts.
     *
     * @return agents, one for each engine
     */
    public List<LabAgent> modelAgents() {
        return modelAgents;
    }

    /**
     * Returns the agents of the service hosts.
     *
     * @return agents, one for each service
     */
    public List<LabAgent> serviceAgents() {
        return serviceAgents;
    }

    /**
     * Returns the entries.
     *
     * @return two entries
     */
    public List<LabEntry> entries() {
        return entries;
    }

    /**
     * Returns the version that the model hosts serve.
     *
     * @return digest of its manifest
     */
    public Digest version() {
        return version.digest();
    }

    /**
     * Returns the engine of a model host.
     *
     * @param agent agent of the host
     * @return stand-in
     */
    public static EngineStandIn engineOf(LabAgent agent) {
        return (EngineStandIn) agent.upstream();
    }

    /**
     * Sums the runs of orders over all services.
     *
     * @return number of runs by idempotency key
     */
    public Map<String, Integer> orderRuns() {
        Map<String, Integer> sum = new HashMap<>();
        for (LabAgent a : serviceAgents) {
            ((ServiceStandIn) a.upstream())
                    .runsByKey()
                    .forEach((key, n) -> sum.merge(key, n, Integer::sum));
        }
        return sum;
    }

    @Override
    public void close() {
        entries.forEach(LabEntry::close);
        modelAgents.forEach(LabAgent::close);
        serviceAgents.forEach(LabAgent::close);
        platform.close();
    }

    private static HostRecord hostRecord(String name, int index, String fleet) {
        return new HostRecord(
                new HostId(name),
                new DomainId("domain-" + index % DOMAINS),
                REGION,
                fleet.isEmpty() ? HostRole.ENTRY : HostRole.AGENT,
                fleet,
                LoopbackAddresses.format(LoopbackAddresses.next()),
                HostState.LIVE);
    }

    private void startHost(HostRecord record, EngineSettings engineSettings) throws IOException {
        if (record.role() == HostRole.ENTRY) {
            entries.add(new LabEntry(platform, record));
            return;
        }
        boolean model = record.fleet().equals(MODEL_FLEET);
        WeightSettings weights =
                new WeightSettings(
                        new SwarmPlannerFactory(
                                new SwarmPlannerSettings(DistributionPolicy.TIME, REGION, 8, 2)),
                        LINK_BYTES_PER_SECOND,
                        LINK_BYTES_PER_SECOND,
                        CHUNK_MEMORY_BYTES);
        LabAgent agent =
                new LabAgent(
                        platform,
                        record,
                        model ? new EngineStandIn(engineSettings) : new ServiceStandIn(10),
                        weights,
                        platform.originClient(),
                        t -> t);
        (model ? modelAgents : serviceAgents).add(agent);
    }

    private List<FleetSpec> fleetSpecs(int maxInFlight) {
        FleetSpec model =
                new FleetSpec(
                        new FleetId(MODEL_FLEET),
                        UpstreamKind.MODEL,
                        "ube-helper",
                        "",
                        "1",
                        version.digest(),
                        Map.of(),
                        maxInFlight,
                        2 * maxInFlight,
                        2,
                        false,
                        List.of());
        FleetSpec service =
                new FleetSpec(
                        new FleetId(SERVICE_FLEET),
                        UpstreamKind.SERVICE,
                        "",
                        "",
                        "",
                        Digest.NONE,
                        Map.of(),
                        maxInFlight,
                        2 * maxInFlight,
                        2,
                        false,
                        List.of(new CallPattern("POST", "/orders")));
        return List.of(model, service);
    }

    private void awaitServing() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
        while (!allHostsServe()) {
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException(
                        "not all %d agents were reported as serving to both entries within %d s"
                                .formatted(
                                        modelAgents.size() + serviceAgents.size(),
                                        START_TIMEOUT_SECONDS));
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    // Returns whether every entry has received a report from every agent that its upstream serves.
    private boolean allHostsServe() {
        int agents = modelAgents.size() + serviceAgents.size();
        for (LabEntry e : entries) {
            long serving =
                    e.node().members().stream()
                            .filter(m -> m.record().role() == HostRole.AGENT)
                            .filter(m -> m.report().isPresent())
                            .filter(m -> m.report().get().upstreamHealthy())
                            .filter(m -> m.report().get().capacity() > 0)
                            .filter(
                                    m ->
                                            m.record().fleet().equals(SERVICE_FLEET)
                                                    || m.report()
                                                            .get()
                                                            .serving()
                                                            .equals(version.digest()))
                            .count();
            if (serving < agents) {
                return false;
            }
        }
        return true;
    }
}
