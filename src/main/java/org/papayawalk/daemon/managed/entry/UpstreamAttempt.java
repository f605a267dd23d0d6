package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.stream.VerbatimEventSplitter;

/**
 * One attempt to serve a request at one upstream. It reports its end to its exchange once. Confined
 * to the event loop thread.
 */
final class UpstreamAttempt implements UpstreamListener {
    /** Size limit of a response that is buffered before it is forwarded. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Time without data after which a stream resumes at another upstream. */
    private static final Duration STREAM_STALL_TIMEOUT = Duration.ofMillis(1100);

    /**
     * Time without data, in multiples of the route's latency target, after which a request with a
     * buffered response is sent to another upstream.
     */
    private static final int STALL_TIMEOUT_TARGETS = 2;

    /** Status of an upstream that is not the one addressed. */
    private static final int MISDIRECTED_REQUEST = 421;

    private final EntryContext entry;

    private final Exchange exchange;

    private final PlacementCandidate candidate;

    private final VerbatimEventSplitter splitter = new VerbatimEventSplitter();

    /** Null until the connection is open. */
    private UpstreamConnection connection;

    /** Head of the response; null until it is received. */
    private HttpResponse head;

    /** Whether the upstream states that it did not run the request. */
    private boolean notRun;

    /** Whether events are forwarded as they are received; otherwise the response is buffered. */
    private boolean streaming;

    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;

    /** When the attempt started. The request is sent later if it needs a new connection. */
    private Instant startedAt;

    /** When data was last received, or the request was sent. */
    private Instant lastProgressAt = Instant.MIN;

    /**
     * Length of the prompt while it is in prefill, relative to the mean prompt; 0 after prefill.
     */
    private double pendingPrefill;

    private boolean done;

    /**
     * Creates an attempt that has not started.
     *
     * @param entry shared state of the entry
     * @param exchange request to send
     * @param candidate upstream
     */
    UpstreamAttempt(EntryContext entry, Exchange exchange, PlacementCandidate candidate) {
        this.entry = entry;
        this.exchange = exchange;
        this.candidate = candidate;
    }

    /** Opens a connection and sends the request. */
    void start() {
        pendingPrefill =
                entry.relativePromptLength(
                        exchange.authorized().service(), exchange.promptTokens());
        candidate.load().sent(pendingPrefill);
        startedAt = entry.clock().instant();
        entry.limits().sent(candidate.upstream().process(), startedAt);
        UpstreamTable.Upstream upstream =
                entry.upstreams().find(candidate.upstream().id()).orElse(null);
        if (upstream == null) {
            onFailure("upstream is no longer in the upstream list", false);
            return;
        }
        upstream.pool()
                .acquire(
                        !route().retryable(),
                        this::sendOn,
                        reason -> onFailure("cannot connect: " + reason, false));
    }

    /**
     * Ends the attempt without a report to its exchange and closes its connection.
     *
     * @param result result to record for the upstream
     */
    void abandon(AttemptResult result) {
        if (done) {
            return;
        }
        finish(result);
        if (connection != null) {
            connection.abandon();
        }
    }

    /**
     * Applies or lifts backpressure on the upstream.
     *
     * @param enabled whether to read from the upstream
     */
    void setReadEnabled(boolean enabled) {
        if (connection != null && !done) {
            connection.setReadEnabled(enabled);
        }
    }

    @Override
    public void onSent() {
        lastProgressAt = entry.clock().instant();
    }

    @Override
    public void onHead(HttpResponse response, ResponseMetadata metadata) {
        Instant now = entry.clock().instant();
        lastProgressAt = now;
        head = response;
        metadata.load()
                .ifPresentOrElse(
                        l -> candidate.load().loadReported(l, now),
                        () -> candidate.load().responseStarted());
        int status = response.status().code();
        notRun = metadata.notRun() || status == MISDIRECTED_REQUEST;
        if (status == MISDIRECTED_REQUEST) {
            entry.upstreams().pauseMisdirected(candidate.upstream().id(), now);
        } else {
            entry.statements()
                    .recordLimit(candidate.upstream().process(), metadata, startedAt, now);
        }
        entry.statements().recordWithheld(candidate.upstream().process(), status, metadata, now);
        boolean eventStream = route().kind() == RequestKind.STREAMING && status == 200;
        streaming = eventStream && metadata.hasAuthenticationCode();
        if (streaming) {
            exchange.stream().start(response);
        } else {
            bufferedBody = Unpooled.buffer();
        }
    }

    @Override
    public void onData(ByteBuf data) {
        lastProgressAt = entry.clock().instant();
        endPrefill();
        if (!streaming) {
            bufferedBody.writeBytes(data);
            if (bufferedBody.readableBytes() > MAX_BUFFERED_RESPONSE_BYTES) {
                fail("response is longer than " + MAX_BUFFERED_RESPONSE_BYTES + " bytes");
            }
            return;
        }
        for (VerbatimEventSplitter.Event e : splitter.feed(ByteBufUtil.getBytes(data))) {
            exchange.stream().forward(e, lastProgressAt);
        }
        if (!exchange.stream().isWritable()) {
            setReadEnabled(false);
        }
    }

    @Override
    public void onComplete() {
        if (done) {
            return;
        }
        if (streaming) {
            exchange.stream().forwardRemainder(splitter.takePartial());
            finish(AttemptResult.ANSWERED);
            exchange.streamCompleted();
            return;
        }
        String name = candidate.upstream().id() + ": status " + head.status().code();
        if (notRun) {
            finish(AttemptResult.REFUSED);
            exchange.attemptFailed(false, true, name + ", request not run");
            return;
        }
        boolean failure = head.status().code() >= 500;
        finish(failure ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED);
        exchange.responseReceived(
                new BufferedResponse(head, ByteBufUtil.getBytes(bufferedBody)), name);
    }

    @Override
    public void onFailure(String reason, boolean connected) {
        if (done) {
            return;
        }
        finish(connected ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE);
        if (connected) {
            entry.checkForCrash(exchange.fingerprint(), candidate.upstream());
        }
        exchange.attemptFailed(connected, connected, candidate.upstream().id() + ": " + reason);
    }

    private void sendOn(UpstreamConnection newConnection) {
        if (done) {
            newConnection.abandon();
            return;
        }
        Instant now = entry.clock().instant();
        if (!entry.upstreams().takesRequests(candidate.upstream(), now)) {
            newConnection.abandon();
            finish(AttemptResult.CANCELLED);
            exchange.attemptFailed(
                    false, false, candidate.upstream().id() + ": takes no new requests any more");
            return;
        }
        connection = newConnection;
        newConnection.send(exchange.upstreamRequest(candidate, now), exchange.requestId(), this);
        if (!done && route().retryable()) {
            scheduleStallCheck();
            entry.upstreams()
                    .beginBy(candidate.upstream(), exchange.model())
                    .filter(t -> t.isAfter(now))
                    .ifPresent(t -> scheduleBeginCheck(Duration.between(now, t)));
        }
    }

    // Withdraws the request if it has not begun when the version of the upstream expires.
    private void scheduleBeginCheck(Duration delay) {
        entry.loop()
                .schedule(
                        () -> {
                            if (!done && head == null) {
                                withdraw("not begun before the version of its weights expired");
                            }
                        },
                        Math.max(1, delay.toMillis()),
                        TimeUnit.MILLISECONDS);
    }

    // Ends the attempt without a failure of its upstream. The request may be about to begin there.
    private void withdraw(String reason) {
        connection.abandon();
        finish(AttemptResult.CANCELLED);
        exchange.attemptFailed(true, true, candidate.upstream().id() + ": " + reason);
    }

    private RouteRule route() {
        return exchange.authorized().route();
    }

    // Records the result and triggers a scan of the queue, because a slot has become free.
    private void finish(AttemptResult result) {
        done = true;
        endPrefill();
        candidate.load().ended(result, entry.clock().instant());
        entry.queue(exchange.authorized().service()).capacityAvailable();
    }

    // The first data of the response shows that prefill is done.
    private void endPrefill() {
        candidate.load().prefillEnded(pendingPrefill);
        pendingPrefill = 0;
    }

    private void fail(String reason) {
        connection.abandon();
        onFailure(reason, true);
    }

    private Duration stallTimeout() {
        return route().kind() == RequestKind.STREAMING
                ? STREAM_STALL_TIMEOUT
                : route().targetLatency().multipliedBy(STALL_TIMEOUT_TARGETS);
    }

    // Fails the attempt if no data is received within the stall timeout and an attempt is left.
    private void scheduleStallCheck() {
        Duration limit = stallTimeout();
        Instant last = lastProgressAt;
        Duration left = Duration.between(entry.clock().instant(), last.plus(limit));
        entry.loop()
                .schedule(
                        () -> {
                            if (done) {
                                return;
                            }
                            if (!lastProgressAt.equals(last)) {
                                scheduleStallCheck();
                            } else if (exchange.hasAttemptsLeft()) {
                                fail("no data received for " + limit.toMillis() + " ms");
                            }
                        },
                        Math.max(1, left.toMillis()),
                        TimeUnit.MILLISECONDS);
    }
}
