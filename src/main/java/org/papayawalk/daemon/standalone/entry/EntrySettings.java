package org.papayawalk.daemon.standalone.entry;

import java.net.InetSocketAddress;

/**
 * Settings of an entry. Immutable.
 *
 * @param httpListen address of the HTTP server for callers
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record EntrySettings(InetSocketAddress httpListen, int maxBodyBytes) {}
