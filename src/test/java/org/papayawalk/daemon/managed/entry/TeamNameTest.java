package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Names of teams that are no plain words. Checks that servers are told them as they are. */
public final class TeamNameTest {
    private ManagedEntryFixture fixture;

    private int version = 1;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * Returns names of teams.
     *
     * @return name
     */
    @DataProvider
    public Object[][] names() {
        return new Object[][] {
            {"Bozi Cakes"}, {"a,b;c=\"d\""}, {"\u7cd6 \u0417\u00e9\u00a0x"}, {"x".repeat(1024)}
        };
    }

    /**
     * The header of a request carries the name, in UTF-8.
     *
     * @param name name of the team
     */
    @Test(dataProvider = "names")
    public void serverIsToldTheName(String name) {
        version++;
        String key = "key-" + version;
        String quoted = name.replace("\"", "\\\"");
        String desired = ManagedEntryFixture.desired(version, key).replace("bakers", quoted);
        fixture.store().put("op", "config", desired);
        ManagedEntryFixture.await(
                () -> fixture.caller().send("GET", "/read/x", key).status() == 200);
        fixture.first().seen().clear();
        fixture.second().seen().clear();
        assertEquals(fixture.caller().send("GET", "/read/x", key).status(), 200);
        FakeUpstream used = fixture.first().seen().isEmpty() ? fixture.second() : fixture.first();
        assertEquals(used.seen().get(0).headers().get("x-tenant"), name);
    }
}
