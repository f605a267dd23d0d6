package org.papayawalk.core.rollout;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.HostState;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.member.PeerReport;
import org.testng.Assert;

/** Properties of {@link WaveGate}: the bound on unavailable hosts, and progress. */
final class WaveGateProperties {
    private static final Digest WANTED = Digest.of(new byte[] {2});

    /** Time of staging, of all reports and of all decisions, so that no host is a straggler. */
    private static final Instant NOW = Instant.EPOCH;

    /**
     * With arbitrarily delayed reports, the number of hosts that switch at the same time stays
     * within the bound, and all hosts reach the version.
     *
     * @param hosts number of hosts
     * @param bound maximum number of hosts that switch at once
     * @param seed seed of the random schedule
     */
    @Property(tries = 200, seed = "20261203")
    void staysWithinBoundAndCompletes(
            @ForAll @IntRange(min = 1, max = 20) int hosts,
            @ForAll @IntRange(min = 1, max = 5) int bound,
            @ForAll long seed) {
        Random random = new Random(seed);
        WaveGate gate = new WaveGate();
        List<HostId> order = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            order.add(new HostId("host-" + i));
        }
        Map<HostId, RolloutStep> truth = new HashMap<>();
        Map<HostId, Map<HostId, Member>> views = new HashMap<>();
        order.forEach(h -> truth.put(h, RolloutStep.STAGED));
        order.forEach(h -> views.put(h, new HashMap<>()));
        order.forEach(h -> order.forEach(o -> views.get(h).put(o, member(o, truth.get(o)))));
        int serving = 0;
        for (int i = 0; i < 20_000 && serving < hosts; i++) {
            HostId host = order.get(random.nextInt(hosts));
            HostId other = order.get(random.nextInt(hosts));
            views.get(host).put(other, member(other, truth.get(other)));
            if (truth.get(host) == RolloutStep.SWITCHING && random.nextInt(4) == 0) {
                truth.put(host, RolloutStep.SERVING);
                serving++;
            } else if (truth.get(host) == RolloutStep.STAGED) {
                List<HostId> before = gate.predecessors(host, order, bound);
                if (gate.maySwitch(before, views.get(host), WANTED, NOW, NOW)) {
                    truth.put(host, RolloutStep.SWITCHING);
                }
            }
            long switching =
                    truth.values().stream().filter(s -> s == RolloutStep.SWITCHING).count();
            Assert.assertTrue(switching <= bound, switching + " hosts switch, bound " + bound);
        }
        Assert.assertEquals(serving, hosts);
    }

    // Returns a member whose report was received at the present time.
    private static Member member(HostId host, RolloutStep step) {
        DomainId domain = new DomainId("luzon");
        HostRecord record =
                new HostRecord(
                        host,
                        domain,
                        new RegionId("main"),
                        HostRole.AGENT,
                        "helper",
                        "127.0.0.1:1",
                        HostState.LIVE);
        Digest serving = step == RolloutStep.SERVING ? WANTED : Digest.NONE;
        PeerReport report =
                new PeerReport(
                        host,
                        domain,
                        HostRole.AGENT,
                        1,
                        ConfigVersion.ZERO,
                        false,
                        "helper",
                        serving,
                        step,
                        0,
                        0,
                        1,
                        true,
                        WANTED,
                        1,
                        1,
                        NOW);
        return new Member(record, Optional.of(report), Optional.empty());
    }
}
