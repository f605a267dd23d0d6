package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/**
 * Base of tests in which upstreams send what is no answer: an entry before two fakes, which is used
 * by all tests of a class. Confined to one thread.
 */
public abstract class UpstreamFaultCase {
    private EndlessChecks checks;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        checks = new EndlessChecks();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        checks.close();
    }

    /** Waits until the entry uses both upstreams again. */
    @BeforeMethod
    public void reset() {
        checks.reset();
    }

    /**
     * Returns the entry with its fakes, and what is checked of them.
     *
     * @return checks
     */
    final EndlessChecks checks() {
        return checks;
    }
}
