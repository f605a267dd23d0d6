package org.papayawalk.daemon.agent;

/** Tells whether the upstream has crashed. Implementations are safe from any thread. */
public interface CrashCheck {

    /**
     * Asks the upstream after a connection to it broke off.
     *
     * @return true if it does not answer or has another incarnation than before
     */
    boolean crashed();
}
