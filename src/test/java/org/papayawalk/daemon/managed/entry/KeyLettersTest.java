package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** API keys with letters of any kind, which callers send in UTF-8. */
public final class KeyLettersTest {
    private ManagedEntryFixture fixture;

    /**
     * Starts the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if one cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * Returns keys.
     *
     * @return rows of one key
     */
    @DataProvider
    public Object[][] keys() {
        return new Object[][] {{"plain"}, {"schl\u00fcssel"}, {"a,b c"}, {"k=v;x+/"}};
    }

    /**
     * A request with a key of the desired state is served.
     *
     * @param key key
     */
    @Test(dataProvider = "keys")
    public void keyOfTheDesiredStateIsKnown(String key) {
        fixture.store().put("op", "config", ManagedEntryFixture.desired(2, "key-2\",\"" + key));
        ManagedEntryFixture.await(
                () -> fixture.caller().send("GET", "/read/x", "key-2").status() == 200);
        assertEquals(fixture.caller().send("GET", "/read/x", key).status(), 200);
    }
}
