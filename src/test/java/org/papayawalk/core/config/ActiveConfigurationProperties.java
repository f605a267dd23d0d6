package org.papayawalk.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.papayawalk.core.id.ConfigVersion;
import org.testng.Assert;

/** Checks the invariant of {@link ActiveConfiguration} that its version never decreases. */
final class ActiveConfigurationProperties {

    /**
     * The version in force never decreases. The final version does not depend on the order in which
     * configurations are received.
     *
     * @param versions versions in the order in which they are received
     * @param seed seed of the second, shuffled order
     */
    @Property(seed = "20261203")
    void versionNeverDecreases(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 30) Integer> versions,
            @ForAll long seed) {
        ActiveConfiguration first = new ActiveConfiguration();
        long last = 0;
        for (int v : versions) {
            first.adoptIfLater(configuration(v));
            long now = first.current().version().number();
            Assert.assertTrue(now >= last, "version decreased from " + last + " to " + now);
            last = now;
        }
        List<Integer> shuffled = new ArrayList<>(versions);
        Collections.shuffle(shuffled, new Random(seed));
        ActiveConfiguration second = new ActiveConfiguration();
        shuffled.forEach(v -> second.adoptIfLater(configuration(v)));
        Assert.assertEquals(second.current().version(), first.current().version());
    }

    private static Configuration configuration(int version) {
        return new Configuration(new ConfigVersion(version), "change-" + version, List.of());
    }
}
