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

/** Properties of {@link ActiveConfiguration}: promise "never reverts". */
final class ActiveConfigurationProperties {

    /**
     * The version in force never decreases, and ends at the highest offered, whatever the order.
     *
     * @param versions versions offered
     * @param seed seed of a second order
     */
    @Property(seed = "20261203")
    void neverReverts(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 30) Integer> versions,
            @ForAll long seed) {
        ActiveConfiguration first = new ActiveConfiguration();
        long last = 0;
        for (int v : versions) {
            first.adoptIfLater(configuration(v));
            long now = first.current().version().number();
            Assert.assertTrue(now >= last, "reverted from " + last + " to " + now);
            last = now;
        }
        List<Integer> shuffled = new ArrayList<>(versions);
        Collections.shuffle(shuffled, new Random(seed));
        ActiveConfiguration second = new ActiveConfiguration();
        shuffled.forEach(v -> second.adoptIfLater(configuration(v)));
        Assert.assertEquals(second.current().version(), first.current().version());
    }

    /**
     * Makes a configuration.
     *
     * @param version its version
     * @return configuration
     */
    private static Configuration configuration(int version) {
        return new Configuration(new ConfigVersion(version), "change-" + version, List.of());
    }
}
