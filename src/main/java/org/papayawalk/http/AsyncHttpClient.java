package org.papayawalk.http;

import io.netty.channel.EventLoopGroup;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/**
 * HTTP client with a connection pool. A connection carries one request at a time and is reused for
 * requests to the same address, unless a request asks for its own. It is closed if its request
 * fails, and if bytes came behind the response, as they would be read as the next one. After a
 * timeout, idle connections to that address that have not answered since are not reused, as they
 * may be silent too. Thread-safe.
 */
public final class AsyncHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    /** Bound of all responses that are received at the same time, in bytes. */
    private static final long MAX_BUFFERED_BYTES = 12 * 1024 * 1024;

    /** Time after which an idle connection is not reused. */
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final EventLoopGroup group;

    private final BufferBudget budget = new BufferBudget(MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES);

    /** Idle connections by address; each deque is guarded by its own monitor. */
    private final Map<String, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param group event loops of the connections
     */
    public AsyncHttpClient(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Sends a request over an idle connection, or over a new one if there is none. A server that
     * sends a response twice may let the second copy pass for the response to this request.
     *
     * @param request request to send
     * @return response with any status, or a fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, AsyncHttpResponse>> send(AsyncHttpRequest request) {
        return send(request, Optional.ofNullable(takeIdle(request.address())), true);
    }

    /**
     * Sends a request over a new connection that carries no other one, so that a response can only
     * belong to this request.
     *
     * @param request request to send
     * @return response with any status, or a fault; never completes exceptionally
     */
    public CompletableFuture<Either<Fault, AsyncHttpResponse>> sendOnOwnConnection(
            AsyncHttpRequest request) {
        return send(request, Optional.empty(), false);
    }

    private CompletableFuture<Either<Fault, AsyncHttpResponse>> send(
            AsyncHttpRequest request, Optional<ClientConnection> pooled, boolean reusable) {
        long sentNanos = System.nanoTime();
        CompletableFuture<AsyncHttpResponse> response = new CompletableFuture<>();
        ReceiveProgress progress = new ReceiveProgress(request, sentNanos);
        pooled.ifPresentOrElse(
                c -> c.send(request, response, progress),
                () -> connect(request, response, progress, reusable));
        if (request.bounds().longest().compareTo(request.timeout()) > 0) {
            checkProgress(response, progress);
        }
        return response.orTimeout(request.bounds().longest().toNanos(), TimeUnit.NANOSECONDS)
                .handle((a, e) -> toResult(request, sentNanos, a, e));
    }

    // Fails a request once the next byte of its response is overdue.
    private void checkProgress(
            CompletableFuture<AsyncHttpResponse> response, ReceiveProgress progress) {
        long left = progress.left(System.nanoTime()).toNanos();
        if (response.isDone() || group.isShuttingDown()) {
            return;
        }
        if (left <= 0) {
            response.completeExceptionally(new TimeoutException());
            return;
        }
        ScheduledFuture<?> next =
                group.schedule(() -> checkProgress(response, progress), left, TimeUnit.NANOSECONDS);
        response.whenComplete((a, e) -> next.cancel(false));
    }

    /**
     * Returns the memory of the responses that are being received.
     *
     * @return bytes
     */
    public long bufferedBytes() {
        return budget.heldBytes();
    }

    // The response is null if the request failed, otherwise the failure is.
    private Either<Fault, AsyncHttpResponse> toResult(
            AsyncHttpRequest request,
            long sentNanos,
            AsyncHttpResponse response,
            Throwable failure) {
        if (failure == null) {
            return Either.right(response);
        }
        if (failure instanceof TimeoutException) {
            retireIdle(request.address(), sentNanos);
        }
        return Either.left(toFault(request, failure));
    }

    // Returns null if there is no reusable connection; closes those that are too old.
    private ClientConnection takeIdle(String address) {
        Deque<ClientConnection> pool = idle.get(address);
        if (pool == null) {
            return null;
        }
        long oldest = System.nanoTime() - IDLE_TIMEOUT_NANOS;
        synchronized (pool) {
            while (!pool.isEmpty()) {
                ClientConnection c = pool.removeLast();
                if (c.isReusable(oldest)) {
                    return c;
                }
                c.close();
            }
        }
        return null;
    }

    private void addIdle(ClientConnection connection) {
        Deque<ClientConnection> pool =
                idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        synchronized (pool) {
            pool.addLast(connection);
        }
    }

    // Closes the idle connections to an address whose last answer is older than a request.
    private void retireIdle(String address, long sentNanos) {
        Deque<ClientConnection> pool = idle.get(address);
        if (pool == null) {
            return;
        }
        synchronized (pool) {
            pool.stream().filter(c -> !c.isReusable(sentNanos)).forEach(ClientConnection::close);
            pool.removeIf(c -> !c.isReusable(sentNanos));
        }
    }

    private void connect(
            AsyncHttpRequest request,
            CompletableFuture<AsyncHttpResponse> response,
            ReceiveProgress progress,
            boolean reusable) {
        ClientConnection connection =
                new ClientConnection(
                        request.address(),
                        budget,
                        reusable ? this::addIdle : ClientConnection::close);
        Connector.connect(
                group,
                request.address(),
                CONNECT_TIMEOUT_MILLIS,
                channel -> connection.send(request, response, progress),
                response::completeExceptionally,
                connection.handlers());
    }

    private static String overdue(AsyncHttpRequest request) {
        long timeoutMillis = request.timeout().toMillis();
        ResponseBounds bounds = request.bounds();
        return bounds.longest().equals(request.timeout())
                ? "no complete response within " + timeoutMillis + " ms"
                : "no response within %d ms, a pause of %d ms in it, or none complete within %d ms"
                        .formatted(
                                timeoutMillis,
                                bounds.quiet().toMillis(),
                                bounds.longest().toMillis());
    }

    private static Fault toFault(AsyncHttpRequest request, Throwable failure) {
        String step = request.method() + " " + request.target();
        if (failure instanceof TimeoutException) {
            return new Fault(FaultKind.UNKNOWN_OUTCOME, step, request.address(), overdue(request));
        }
        if (failure instanceof ResponseTooLongException) {
            return Fault.of(FaultKind.TOO_LONG, step, request.address(), failure);
        }
        boolean sent = !ConnectFailures.provesNoListener(failure);
        FaultKind kind = sent ? FaultKind.UNKNOWN_OUTCOME : FaultKind.UNREACHABLE;
        return Fault.of(kind, step, request.address(), failure);
    }
}
