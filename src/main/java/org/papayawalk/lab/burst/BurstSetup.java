package org.papayawalk.lab.burst;

import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.HostState;
import org.papayawalk.core.weight.PlannerFactory;
import org.papayawalk.core.weight.SwarmPlannerFactory;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.lab.cluster.LoopbackAddresses;

/** Creates the host list and the planners of a burst experiment. Stateless and thread-safe. */
final class BurstSetup {
    /** Maximum number of chunk requests that a host has in flight. */
    private static final int MAX_REQUESTS = 8;

    private BurstSetup() {}

    /**
     * Creates the host list.
     *
     * @param settings settings of the experiment
     * @return agents spread over the failure domains, and one entry in each domain
     */
    static List<HostRecord> hostList(BurstSettings settings) {
        List<HostRecord> records = new ArrayList<>();
        for (int i = 0; i < settings.hosts(); i++) {
            records.add(
                    hostRecord(
                            settings,
                            "host-%03d".formatted(i),
                            i % settings.domains(),
                            BurstCluster.FLEET));
        }
        for (int d = 0; d < settings.domains(); d++) {
            records.add(hostRecord(settings, "entry-" + d, d, ""));
        }
        return records;
    }

    // Creates a record of the host list. The fleet is empty for an entry.
    private static HostRecord hostRecord(
            BurstSettings settings, String name, int domain, String fleet) {
        return new HostRecord(
                new HostId(name),
                new DomainId("domain-" + domain),
                new RegionId("region-" + domain % settings.regions()),
                fleet.isEmpty() ? HostRole.ENTRY : HostRole.AGENT,
                fleet,
                LoopbackAddresses.format(LoopbackAddresses.next()),
                HostState.LIVE);
    }

    /**
     * Returns the region in which the origin is.
     *
     * @return region
     */
    static RegionId originRegion() {
        return new RegionId("region-0");
    }

    /**
     * Returns the planner factory of the distribution strategy.
     *
     * @param settings settings of the experiment
     * @return factory
     */
    static PlannerFactory plannerFactory(BurstSettings settings) {
        return switch (settings.strategy()) {
            case SWARM ->
                    new SwarmPlannerFactory(
                            new SwarmPlannerSettings(
                                    settings.policy(), originRegion(), MAX_REQUESTS, 2));
            case ORIGIN -> parentPlannerFactory(0);
            case CHAIN -> parentPlannerFactory(1);
            case TREE -> parentPlannerFactory(2);
            case RANDOM ->
                    (self, digest, manifest, now) ->
                            new RandomPlanner(
                                    self.host(),
                                    manifest.chunkCount(),
                                    MAX_REQUESTS,
                                    settings.seed() + self.host().hashCode());
        };
    }

    // The fan-out is the number of children of each host; 0 if all hosts use the origin.
    private static PlannerFactory parentPlannerFactory(int fanOut) {
        return (self, digest, manifest, now) ->
                new ParentPlanner(self.host(), fanOut, manifest.chunkCount(), MAX_REQUESTS);
    }
}
