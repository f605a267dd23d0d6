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
import org.papayawalk.lab.cluster.LabAddresses;

/** Makes the host list and the planners of a burst. Holds no state. */
final class BurstSetup {
    /** Chunks asked for at once. */
    private static final int MAX_REQUESTS = 8;

    /** Prevents instances. */
    private BurstSetup() {}

    /**
     * Makes the host list.
     *
     * @param settings settings
     * @return agents spread over the failure domains, and an entry in each
     */
    static List<HostRecord> records(BurstSettings settings) {
        List<HostRecord> records = new ArrayList<>();
        for (int i = 0; i < settings.hosts(); i++) {
            records.add(
                    record(
                            settings,
                            "host-%03d".formatted(i),
                            i % settings.domains(),
                            BurstCluster.FLEET));
        }
        for (int d = 0; d < settings.domains(); d++) {
            records.add(record(settings, "entry-" + d, d, ""));
        }
        return records;
    }

    /**
     * Makes a line of the host list.
     *
     * @param settings settings
     * @param name name of the host
     * @param domain number of its failure domain
     * @param fleet fleet, empty for an entry
     * @return line
     */
    private static HostRecord record(
            BurstSettings settings, String name, int domain, String fleet) {
        return new HostRecord(
                new HostId(name),
                new DomainId("domain-" + domain),
                new RegionId("region-" + domain % settings.regions()),
                fleet.isEmpty() ? HostRole.ENTRY : HostRole.AGENT,
                fleet,
                LabAddresses.text(LabAddresses.next()),
                HostState.LIVE);
    }

    /**
     * Returns the region of the origin.
     *
     * @return region
     */
    static RegionId homeRegion() {
        return new RegionId("region-0");
    }

    /**
     * Creates the planners of a strategy.
     *
     * @param settings settings
     * @return factory
     */
    static PlannerFactory planners(BurstSettings settings) {
        return switch (settings.strategy()) {
            case SWARM ->
                    new SwarmPlannerFactory(
                            new SwarmPlannerSettings(
                                    settings.policy(), homeRegion(), MAX_REQUESTS, 2));
            case ORIGIN -> parents(0);
            case CHAIN -> parents(1);
            case TREE -> parents(2);
            case RANDOM ->
                    (self, digest, manifest, now) ->
                            new RandomPlanner(
                                    self.host(),
                                    manifest.chunkCount(),
                                    MAX_REQUESTS,
                                    settings.seed() + self.host().hashCode());
        };
    }

    /**
     * Creates planners that take from a parent.
     *
     * @param fanOut children of each host; 0 if all take from the origin
     * @return factory
     */
    private static PlannerFactory parents(int fanOut) {
        return (self, digest, manifest, now) ->
                new ParentPlanner(self.host(), fanOut, manifest.chunkCount(), MAX_REQUESTS);
    }
}
