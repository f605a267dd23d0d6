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
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.HttpConnectionFactory;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/**
 * HTTP client whose calls block until the response arrives. Nothing in an HTTP response tells which
 * request it answers, so each call has a connection of its own, unless the client was made to keep
 * connections. Thread-safe.
 */
public final class BlockingHttpClient implements AutoCloseable {
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);

    /** Maximum length of a body that is read as a whole; a chunk of weights has 4 MiB at most. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    /** Maximum length of a line in a head, in the framing of chunks or in trailers, in bytes. */
    private static final int MAX_LINE_BYTES = 16 * 1024;

    /** Maximum number of header lines, and of trailer lines. */
    private static final int MAX_HEADERS = 256;

    /**
     * Time for a head, and for a body that is read as a whole, in multiples of the read timeout.
     */
    private static final int READ_TIMEOUTS_PER_PART = 10;

    private final HttpRequester requester;

    /** Time from the first byte of a head, or of a body that is read as a whole, to its end. */
    private final Duration partTimeout;

    /**
     * Creates a client that opens a connection for each call.
     *
     * @param readTimeout maximum wait for the next bytes of a response
     * @param maxConnections maximum number of open connections, to one server and in total
     */
    public BlockingHttpClient(Duration readTimeout, int maxConnections) {
        this(readTimeout, maxConnections, (request, response, context) -> false);
    }

    private BlockingHttpClient(
            Duration readTimeout, int maxConnections, ConnectionReuseStrategy reuse) {
        partTimeout = readTimeout.multipliedBy(READ_TIMEOUTS_PER_PART);
        SocketConfig sockets =
                SocketConfig.custom()
                        .setSoTimeout(Timeout.of(readTimeout))
                        .setTcpNoDelay(true)
                        .build();
        requester =
                RequesterBootstrap.bootstrap()
                        .setSocketConfig(sockets)
                        .setConnectionFactory(newConnectionFactory(partTimeout))
                        .setConnectionReuseStrategy(reuse)
                        .setMaxTotal(maxConnections)
                        .setDefaultMaxPerRoute(maxConnections)
                        .create();
    }

    /**
     * Creates a client that keeps connections. A server that answers a call twice can have its
     * second answer taken for that of a later call; so this is for servers that do not, and for
     * responses whose content is verified.
     *
     * @param readTimeout maximum wait for the next bytes of a response
     * @param maxConnections maximum number of open connections, to one server and in total
     * @return client
     */
    public static BlockingHttpClient keepingConnections(Duration readTimeout, int maxConnections) {
        return new BlockingHttpClient(
                readTimeout, maxConnections, DefaultConnectionReuseStrategy.INSTANCE);
    }

    /**
     * Sends a request and reads the whole response.
     *
     * @param request request to send
     * @return response with any status, or a fault if there is none
     */
    public Either<Fault, ClientResponse> execute(ClientRequest request) {
        return executeStreaming(request).flatMap(stream -> readAll(request, stream));
    }

    /**
     * Sends a request and returns when the headers of the response have arrived.
     *
     * @param request request to send
     * @return response with any status and unread body, which the caller closes; or a fault if
     *     there is none
     */
    public Either<Fault, StreamingResponse> executeStreaming(ClientRequest request) {
        HttpHost host = toHttpHost(request.address());
        try {
            return Either.right(new StreamingResponse(send(host, request)));
        } catch (ConnectException
                | NoRouteToHostException
                | UnaskedBytesException
                | IllegalStateException e) {
            // The connection pool throws IllegalStateException once this client is closed.
            return Either.left(
                    Fault.of(FaultKind.UNREACHABLE, request.step(), request.address(), e));
        } catch (IOException | HttpException e) {
            return Either.left(
                    Fault.of(FaultKind.UNKNOWN_OUTCOME, request.step(), request.address(), e));
        }
    }

    @Override
    public void close() {
        requester.close(CloseMode.IMMEDIATE);
    }

    /**
     * Converts an address to the type of the HTTP library. The IP address is passed as the host
     * name too; otherwise the library would do a reverse name lookup for each request.
     *
     * @param address IP address and port
     * @return the same address
     */
    static HttpHost toHttpHost(String address) {
        InetSocketAddress socket = Addresses.parse(address);
        InetAddress ip = socket.getAddress();
        return new HttpHost("http", ip, ip.getHostAddress(), socket.getPort());
    }

    // A kept connection on which bytes came unasked is closed, with the others that are idle, and
    // the request is sent on another one.
    private ClassicHttpResponse send(HttpHost host, ClientRequest request)
            throws IOException, HttpException {
        try {
            return sendOnce(host, request);
        } catch (UnaskedBytesException e) {
            requester.closeIdle(TimeValue.ZERO_MILLISECONDS);
            return sendOnce(host, request);
        }
    }

    private ClassicHttpResponse sendOnce(HttpHost host, ClientRequest request)
            throws IOException, HttpException {
        return requester.execute(
                host, toHttpRequest(request), CONNECT_TIMEOUT, HttpCoreContext.create());
    }

    private static ClassicHttpRequest toHttpRequest(ClientRequest request) {
        ClassicRequestBuilder builder =
                ClassicRequestBuilder.create(request.method()).setPath(request.path());
        ContentType type = ContentType.APPLICATION_OCTET_STREAM;
        for (HttpHeader h : request.headers()) {
            if (h.name().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE)) {
                type = ContentType.parse(h.value());
            } else {
                builder.addHeader(h.name(), h.value());
            }
        }
        if (request.body() != null) {
            builder.setEntity(new ByteArrayEntity(request.body(), type));
        }
        return builder.build();
    }

    private static HttpConnectionFactory<CheckedClientConnection> newConnectionFactory(
            Duration headTimeout) {
        Http1Config config =
                Http1Config.custom()
                        .setMaxLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderCount(MAX_HEADERS)
                        .build();
        HttpMessageParserFactory<ClassicHttpResponse> parsers =
                new DefaultHttpResponseParserFactory(config, new StrictStatusParser(), null);
        return socket -> {
            CheckedClientConnection connection =
                    new CheckedClientConnection(
                            config,
                            c -> new BoundedHeadParser(parsers.create(config), headTimeout));
            connection.bind(socket);
            return connection;
        };
    }

    private Either<Fault, ClientResponse> readAll(ClientRequest request, StreamingResponse stream) {
        // The body is not closed, as that would read it to its end.
        try (stream) {
            InputStream body = new TimedInputStream(stream.body(), partTimeout);
            byte[] data = body.readNBytes(MAX_BODY_BYTES + 1);
            if (data.length > MAX_BODY_BYTES) {
                throw new IOException("body is longer than " + MAX_BODY_BYTES + " bytes");
            }
            return Either.right(new ClientResponse(stream.status(), stream.headers(), data));
        } catch (IOException e) {
            return Either.left(
                    Fault.of(FaultKind.UNKNOWN_OUTCOME, request.step(), request.address(), e));
        }
    }
}
