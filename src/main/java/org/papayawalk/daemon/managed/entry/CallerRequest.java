package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Instant;

/**
 * Complete request of a caller. The handler of the request must release the body.
 *
 * @param head method, target and headers
 * @param body complete body, reference counted
 * @param receivedAt when the last byte of the request was received
 */
record CallerRequest(HttpRequest head, ByteBuf body, Instant receivedAt) {}
