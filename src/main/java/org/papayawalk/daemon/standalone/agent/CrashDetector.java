package org.papayawalk.daemon.standalone.agent;

/** Detects crashes of the upstream. Implementations are thread-safe. */
public interface CrashDetector {

    /**
     * Returns the incarnation that the upstream reported last.
     *
     * @return incarnation, 0 before the first report
     */
    long lastIncarnation();

    /**
     * Probes the upstream after a request to it failed, and notifies the entries of a crash. Blocks
     * until the probe has ended.
     *
     * @param incarnation incarnation that the request was forwarded to
     * @return true if the upstream does not answer or has another incarnation
     */
    boolean detectCrash(long incarnation);
}
