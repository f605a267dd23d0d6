/**
 * Daemon on the managed platform, started by {@link org.papayawalk.daemon.managed.ManagedMain} as
 * an entry or an agent. Keeps a replica of the platform's state, that is, the desired state, the
 * registrations of upstreams and the requested versions of weights, and synchronizes it with the
 * store and with entries.
 */
package org.papayawalk.daemon.managed;
