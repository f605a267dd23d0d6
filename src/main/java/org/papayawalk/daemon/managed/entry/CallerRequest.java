package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Instant;

/**
 * Request of a caller, read whole. The body is released by the one who handles the request.
 *
 * @param head method, target and headers
 * @param body bytes of the body
 * @param receivedAt when it was read whole
 */
record CallerRequest(HttpRequest head, ByteBuf body, Instant receivedAt) {}
