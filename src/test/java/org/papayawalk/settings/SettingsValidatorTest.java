package org.papayawalk.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link SettingsValidator} and {@link EnvironmentDefaults}. */
public final class SettingsValidatorTest {

    /** Reports every invalid setting, with its flag, environment variable and value. */
    @Test
    public void reportsAllInvalidSettings() {
        List<String> faults =
                new SettingsValidator()
                        .address("--listen", "luzon:80")
                        .address("--listen", "127.0.0.256:80")
                        .address("--listen", "127.0.0.1:80")
                        .name("--domain", "no such domain")
                        .between("--chunk-memory-bytes", 0, 1, 9)
                        .faults();
        assertEquals(faults.size(), 4);
        assertTrue(faults.get(0).startsWith("--listen (PAPAYAWALK_LISTEN): \"luzon:80\""));
    }

    /** A flag that is not given takes its value from its environment variable. */
    @Test
    public void readsEnvironment() {
        EnvironmentDefaults defaults =
                new EnvironmentDefaults(Map.of("PAPAYAWALK_TABLE_ADDRESS", "127.0.0.1:1"));
        assertEquals(defaults.getDefaultValueFor("--table-address"), "127.0.0.1:1");
    }
}
