package org.papayawalk.lab.standin;

/**
 * Settings of an engine stand-in. Immutable.
 *
 * @param prefillMillis time to the first token of a prompt that is not cached
 * @param tokenMillis time between tokens
 * @param maxRunning requests that run at once
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineSettings(
        long prefillMillis, long tokenMillis, int maxRunning, boolean checksFencing) {}
