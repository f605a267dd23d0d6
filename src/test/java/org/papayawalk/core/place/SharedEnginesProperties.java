package org.papayawalk.core.place;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.testng.Assert;

/**
 * Properties of {@link SharedEngines}: every engine has an entry, no entry has fewer engines than
 * the mean, and an entry that leaves changes little.
 */
final class SharedEnginesProperties {
    private static final int ENTRIES_PER_ENGINE = 8;

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    /** Rule that chooses none and keeps what it may choose from. */
    private static final class RecordingRule implements PlacementRule {
        private Set<UpstreamId> offered = Set.of();

        @Override
        public Optional<PlacementCandidate> choose(
                Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
            offered = new HashSet<>();
            candidates.forEach(c -> offered.add(c.upstream().id()));
            return Optional.empty();
        }
    }

    /**
     * Holds for any number of engines and entries.
     *
     * @param engines number of engines
     * @param entries number of entries
     * @param salt part of the names
     */
    @Property(tries = 60, seed = "20261204")
    void everyEngineAndEntryIsServed(
            @ForAll @IntRange(min = 1, max = 60) int engines,
            @ForAll @IntRange(min = 1, max = 60) int entries,
            @ForAll @IntRange(min = 0, max = 1000) int salt) {
        List<PlacementCandidate> all = candidates(engines, salt);
        Map<UpstreamId, Integer> users = new HashMap<>();
        int mean = (int) Math.ceil((double) engines * ENTRIES_PER_ENGINE / entries);
        for (int i = 0; i < entries; i++) {
            Set<UpstreamId> own = own(i, entries, salt, all, Set.of());
            Assert.assertTrue(own.size() >= Math.min(engines, mean), "entry " + i);
            own.forEach(e -> users.merge(e, 1, Integer::sum));
        }
        for (PlacementCandidate c : all) {
            int count = users.getOrDefault(c.upstream().id(), 0);
            Assert.assertTrue(count >= Math.min(entries, ENTRIES_PER_ENGINE), "engine " + c);
        }
    }

    /**
     * If an entry leaves, another one keeps the engines that were assigned to it by rank.
     *
     * @param salt part of the names
     */
    @Property(tries = 60, seed = "20261204")
    void leavingEntryTakesNoEngineFromOthers(@ForAll @IntRange(min = 0, max = 1000) int salt) {
        List<PlacementCandidate> all = candidates(28, salt);
        Set<UpstreamId> before = own(0, 35, salt, all, Set.of());
        Set<UpstreamId> after = own(0, 34, salt, all, Set.of());
        int kept = 0;
        for (UpstreamId e : before) {
            kept += after.contains(e) ? 1 : 0;
        }
        Assert.assertTrue(kept >= before.size() - 1, "kept " + kept + " of " + before.size());
    }

    /**
     * An entry whose own engines are all paused or tried uses the others.
     *
     * @param salt part of the names
     */
    @Property(tries = 60, seed = "20261204")
    void otherEnginesAreUsedIfNoneOfTheOwnCan(@ForAll @IntRange(min = 0, max = 1000) int salt) {
        List<PlacementCandidate> all = candidates(28, salt);
        Set<UpstreamId> own = own(0, 35, salt, all, Set.of());
        Assert.assertEquals(own(0, 35, salt, all, own).size(), all.size());
        all.stream()
                .filter(c -> own.contains(c.upstream().id()))
                .forEach(c -> c.load().pauseUntil(NOW.plusSeconds(1)));
        Assert.assertEquals(own(0, 35, salt, all, Set.of()).size(), all.size());
    }

    // Returns the engines that an entry may choose from.
    private static Set<UpstreamId> own(
            int entry, int entries, int salt, List<PlacementCandidate> all, Set<UpstreamId> tried) {
        RecordingRule recording = new RecordingRule();
        Set<HostId> others = new HashSet<>();
        for (int i = 0; i < entries; i++) {
            if (i != entry) {
                others.add(entry(i, salt));
            }
        }
        new SharedEngines(recording, ENTRIES_PER_ENGINE, entry(entry, salt), () -> others)
                .choose(all, tried, NOW);
        return recording.offered;
    }

    private static HostId entry(int index, int salt) {
        return new HostId("10." + salt + ".0." + index);
    }

    private static List<PlacementCandidate> candidates(int engines, int salt) {
        List<PlacementCandidate> list = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            UpstreamRegistration r =
                    new UpstreamRegistration(
                            new UpstreamId("i-" + salt + "-" + i),
                            1,
                            new ServiceId("s"),
                            "10.1.0." + i + ":80",
                            new DomainId("fes-a"),
                            12,
                            false,
                            Map.of());
            list.add(new PlacementCandidate(r, new UpstreamLoad()));
        }
        return list;
    }
}
