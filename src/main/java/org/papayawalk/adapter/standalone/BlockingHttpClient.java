package org.papayawalk.adapter.standalone;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.time.Duration;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/** Sends HTTP requests over pooled connections. Thread-safe. */
public final class BlockingHttpClient implements AutoCloseable {
    /** Longest time to open a connection. */
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);

    /** Largest body that is read whole, in bytes. */
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    /** Sends the requests. */
    private final HttpRequester requester;

    /**
     * Creates a caller.
     *
     * @param silenceLimit longest wait for the next byte of an answer
     * @param maxConnections connections to one server at once
     * @param reuse whether connections are used again
     */
    public BlockingHttpClient(Duration silenceLimit, int maxConnections, boolean reuse) {
        SocketConfig sockets =
                SocketConfig.custom()
                        .setSoTimeout(Timeout.of(silenceLimit))
                        .setTcpNoDelay(true)
                        .build();
        RequesterBootstrap bootstrap =
                RequesterBootstrap.bootstrap()
                        .setSocketConfig(sockets)
                        .setMaxTotal(maxConnections)
                        .setDefaultMaxPerRoute(maxConnections);
        if (!reuse) {
            bootstrap.setConnectionReuseStrategy((request, response, context) -> false);
        }
        requester = bootstrap.create();
    }

    /**
     * Sends a request and reads the whole answer.
     *
     * @param call request
     * @return the answer with any status, or a fault if none came
     */
    public Either<Fault, ClientResponse> execute(ClientRequest call) {
        return executeStreaming(call).flatMap(stream -> readAll(call, stream));
    }

    /**
     * Sends a request and leaves the body of the answer to be read.
     *
     * @param call request
     * @return the answer with any status, or a fault if none came
     */
    public Either<Fault, StreamingResponse> executeStreaming(ClientRequest call) {
        HttpHost host = toHttpHost(call.address());
        try {
            ClassicHttpResponse response =
                    requester.execute(
                            host, toHttpRequest(call), CONNECT_TIMEOUT, HttpCoreContext.create());
            return Either.right(new StreamingResponse(response));
        } catch (ConnectException | NoRouteToHostException | IllegalStateException e) {
            // The pool throws IllegalStateException once this caller is closed.
            return Either.left(Fault.of(FaultKind.UNREACHABLE, call.step(), call.address(), e));
        } catch (IOException | HttpException e) {
            return Either.left(Fault.of(FaultKind.UNKNOWN_OUTCOME, call.step(), call.address(), e));
        }
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    /**
     * Builds the library's form of an address. It is given the number as the name too: without one
     * it would ask the name service for each request.
     *
     * @param address IP number and port
     * @return the same address
     */
    static HttpHost toHttpHost(String address) {
        InetSocketAddress socket = Addresses.parse(address);
        InetAddress number = socket.getAddress();
        return new HttpHost("http", number, number.getHostAddress(), socket.getPort());
    }

    /**
     * Builds the library's form of a request.
     *
     * @param call request
     * @return the same request
     */
    private static ClassicHttpRequest toHttpRequest(ClientRequest call) {
        ClassicRequestBuilder builder =
                ClassicRequestBuilder.create(call.method()).setPath(call.path());
        ContentType type = ContentType.APPLICATION_OCTET_STREAM;
        for (HttpHeader h : call.headers()) {
            if (h.name().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE)) {
                type = ContentType.parse(h.value());
            } else {
                builder.addHeader(h.name(), h.value());
            }
        }
        if (call.body() != null) {
            builder.setEntity(new ByteArrayEntity(call.body(), type));
        }
        return builder.build();
    }

    /**
     * Reads an answer to its end.
     *
     * @param call request that it answers
     * @param stream answer
     * @return the whole answer, or a fault
     */
    private static Either<Fault, ClientResponse> readAll(
            ClientRequest call, StreamingResponse stream) {
        try (stream;
                InputStream body = stream.body()) {
            byte[] data = body.readNBytes(MAX_BODY_BYTES);
            return Either.right(new ClientResponse(stream.status(), stream.headers(), data));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.UNKNOWN_OUTCOME, call.step(), call.address(), e));
        }
    }
}
