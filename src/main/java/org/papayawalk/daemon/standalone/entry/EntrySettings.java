package org.papayawalk.daemon.standalone.entry;

import java.net.InetSocketAddress;

/**
 * Settings of an entry. Immutable.
 *
 * @param httpListen address to listen on for callers
 * @param maxBodyBytes largest body of a request
 */
public record EntrySettings(InetSocketAddress httpListen, int maxBodyBytes) {}
