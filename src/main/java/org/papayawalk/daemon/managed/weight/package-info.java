/**
 * Weights on the managed platform, for entries and agents: versions identified by model and number,
 * their origin, and their distribution from the origin to entries, which act as relays, and to
 * agents.
 */
package org.papayawalk.daemon.managed.weight;
