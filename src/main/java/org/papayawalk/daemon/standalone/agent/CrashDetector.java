package org.papayawalk.daemon.standalone.agent;

/** Tells whether the upstream has crashed. Implementations are safe from any thread. */
public interface CrashDetector {

    /**
     * Returns the incarnation that the upstream last reported.
     *
     * @return incarnation, 0 if it is not known
     */
    long incarnation();

    /**
     * Asks the upstream after a connection to it broke off, and tells entries if it has crashed.
     *
     * @param before incarnation to which the request was forwarded
     * @return true if it does not answer or has another incarnation
     */
    boolean crashed(long before);
}
