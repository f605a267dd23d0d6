package org.papayawalk.lab.standin;

/**
 * Settings of an engine stand-in. Immutable.
 *
 * @param prefillMillis time to the first token of a prompt that is not cached, in milliseconds
 * @param tokenMillis time between tokens, in milliseconds
 * @param maxRunning largest number of requests that run at once
 * @param checksFencing whether commands with an old fencing number are refused
 */
public record EngineSettings(
        long prefillMillis, long tokenMillis, int maxRunning, boolean checksFencing) {}
