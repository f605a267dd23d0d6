/**
 * Asynchronous HTTP client on Netty event loops, and the socket options of all connections of the
 * daemons on the managed platform. The blocking client of the stand-alone setting is {@code
 * org.papayawalk.adapter.standalone.BlockingHttpClient}.
 */
package org.papayawalk.http;
