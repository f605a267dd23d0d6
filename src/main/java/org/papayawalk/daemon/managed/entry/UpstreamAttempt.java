package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.http.BufferBudget;
import org.papayawalk.log.Event;

/**
 * One attempt to serve a request at one upstream. It reports its end to its exchange once. Confined
 * to the event loop thread.
 */
final class UpstreamAttempt implements UpstreamListener {
    /** Size limit of a response that is buffered before it is forwarded. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

    private static final Duration REPEAT_CHECK_INTERVAL = Duration.ofMillis(100);

    private final EntryContext entry;

    private final Exchange exchange;

    private final PlacementCandidate candidate;

    private final ResponseProgress progress;

    /** Null until the connection is open. */
    private UpstreamConnection connection;

    /** Head of the response; null until it is received. */
    private HttpResponse head;

    /** Whether the upstream states that it did not run the request. */
    private boolean notRun;

    /** Forwards events as they are received; null if the response is buffered. */
    private StreamReceiver receiver;

    /** This attempt in the budget of the entry's buffers. */
    private final BufferBudget.Buffer bufferHandle = this::fail;

    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;

    /** When the attempt started. The request is sent later if it needs a new connection. */
    private Instant startedAt;

    /** When the request was sent; null until then. */
    private Instant sentAt;

    /** Last message to the upstream: the opening of a new connection, later the request. */
    private MessageDelays.Sent message;

    /** Length of the prompt in prefill, relative to the mean prompt; 0 after prefill. */
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
        this.progress =
                new ResponseProgress(route(), exchange.timing().deadline(), entry.runningTime());
    }

    /** Opens a connection and sends the request. */
    void start() {
        pendingPrefill =
                entry.placement()
                        .relativePromptLength(service(), exchange.metadata().promptTokens());
        candidate.load().sent(pendingPrefill);
        startedAt = entry.clock().instant();
        entry.placement().sent(candidate.upstream(), startedAt);
        UpstreamTable.Upstream upstream =
                entry.upstreams().find(candidate.upstream().id()).orElse(null);
        if (upstream == null) {
            finish(AttemptResult.UNREACHABLE);
            reportNotSent("no longer in the upstream list");
            return;
        }
        upstream.pool()
                .acquire(
                        !route().retryable(),
                        exchange.metadata().requestId(),
                        this::sendOn,
                        reason -> onFailure("cannot connect: " + reason, false));
        if (sentAt == null && !done) {
            // A new connection is being opened; pooled ones are provided at once.
            message = entry.upstreams().delays().sent(candidate.upstream(), startedAt);
        }
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
        Instant now = entry.clock().instant();
        finish(progress.isStuck(now) ? AttemptResult.BROKEN : result);
        if (connection != null) {
            connection.abandon();
        }
        if (head != null) {
            exchange.poison().abandoned(candidate.upstream(), now);
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
        sentAt = entry.clock().instant();
        progress.sent(sentAt);
        message = entry.upstreams().delays().sent(candidate.upstream(), sentAt);
        entry.metrics().sent(service(), Duration.between(startedAt, sentAt));
    }

    @Override
    public void onHead(HttpResponse response, ResponseMetadata metadata) {
        Instant now = entry.clock().instant();
        head = response;
        message.answered(now);
        entry.metrics().responseBegan(service(), Duration.between(sentAt, now));
        metadata.load()
                .ifPresentOrElse(
                        l -> candidate.load().loadReported(l, now),
                        () -> candidate.load().responseStarted());
        int status = response.status().code();
        notRun = RefusalRule.isNotRun(status, metadata);
        if (RefusalRule.isMisdirected(status)) {
            entry.upstreams().pauseMisdirected(candidate.upstream().id(), now);
        } else {
            entry.statements()
                    .recordLimit(candidate.upstream().process(), metadata, startedAt, now);
        }
        entry.statements().recordWithheld(candidate.upstream().process(), status, metadata, now);
        boolean streaming = StreamReceiver.accepts(route(), response, metadata, exchange.stream());
        progress.headReceived(response, streaming, now);
        if (streaming) {
            exchange.stream().start(response);
            receiver = new StreamReceiver(exchange.stream(), progress.stream());
        } else {
            bufferedBody = Unpooled.buffer();
        }
    }

    @Override
    public void onData(ByteBuf data) {
        Instant now = entry.clock().instant();
        progress.dataReceived(data.readableBytes(), now);
        endPrefill();
        if (receiver == null) {
            buffer(data);
            return;
        }
        Optional<String> defect = receiver.receive(ByteBufUtil.getBytes(data), now);
        if (defect.isPresent()) {
            fail(defect.get());
            return;
        }
        entry.bufferBudget().resize(bufferHandle, receiver.partialBytes());
        if (!exchange.stream().isWritable()) {
            setReadEnabled(false);
        }
    }

    @Override
    public void onComplete(BodyEnd end) {
        if (done) {
            return;
        }
        entry.metrics().responseEnded(service(), end);
        if (receiver != null) {
            completeStream(end);
            return;
        }
        String name = candidate.upstream().id() + ": status " + head.status().code();
        if (notRun) {
            finish(AttemptResult.REFUSED);
            exchange.attemptFailed(false, true, name + ", request not run");
            return;
        }
        byte[] body = ByteBufUtil.getBytes(bufferedBody);
        Optional<String> defect = StreamReceiver.bufferedDefect(head, body, end);
        if (defect.isPresent()) {
            onFailure(defect.get(), true);
            return;
        }
        BufferedResponse response = new BufferedResponse(head, body);
        finish(response.isServerError() ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED);
        exchange.responseReceived(response, candidate.upstream(), end, name);
    }

    @Override
    public void onFailure(String reason, boolean connected) {
        end(reason, connected, route().retryable());
    }

    // A repeat may have to wait until it is known whether the request has crashed its upstream.
    private void end(String reason, boolean connected, boolean repeatWaits) {
        if (done) {
            return;
        }
        finish(connected ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE);
        String text = candidate.upstream().id() + ": " + reason;
        // The head alone states that the request did not run.
        if (!connected || notRun) {
            exchange.attemptFailed(false, connected, text);
            return;
        }
        boolean waits = repeatWaits && exchange.poison().mayCrash(entry.clock().instant());
        exchange.poison()
                .connectionLost(
                        head != null,
                        candidate.upstream(),
                        waits ? () -> report(true, text) : () -> {});
        if (!waits) {
            report(true, text);
        }
    }

    private void report(boolean reached, String reason) {
        if (!exchange.isCompleted()) {
            exchange.attemptFailed(reached, reached, reason);
        }
    }

    private void completeStream(BodyEnd end) {
        if (receiver.isInsideEvent()) {
            entry.metrics().streamEndedInsideEvent(service(), end);
            Event.named("stream-ended-inside-event")
                    .with("id", exchange.metadata().requestId())
                    .with("upstream", candidate.upstream().id())
                    .with("end", end.label())
                    .with("partial_bytes", receiver.partialBytes())
                    .info();
        }
        Optional<String> defect = receiver.defect(end);
        if (defect.isPresent()) {
            onFailure(defect.get(), true);
            return;
        }
        receiver.forwardRemainder();
        finish(AttemptResult.ANSWERED);
        exchange.streamCompleted(candidate.upstream(), end);
    }

    private void buffer(ByteBuf data) {
        int length = bufferedBody.readableBytes() + data.readableBytes();
        if (length > MAX_BUFFERED_RESPONSE_BYTES) {
            fail("response is longer than " + MAX_BUFFERED_RESPONSE_BYTES + " bytes");
            return;
        }
        bufferedBody.writeBytes(data);
        entry.bufferBudget().resize(bufferHandle, bufferedBody.capacity());
    }

    private void sendOn(UpstreamConnection newConnection) {
        if (done) {
            newConnection.abandon();
            return;
        }
        Instant now = entry.clock().instant();
        if (message != null) {
            message.answered(now);
        }
        Optional<String> obstacle = exchange.obstacle(candidate.upstream(), now);
        if (obstacle.isPresent()) {
            newConnection.abandon();
            finish(AttemptResult.CANCELLED);
            reportNotSent(obstacle.get());
            return;
        }
        connection = newConnection;
        newConnection.send(
                exchange.upstreamRequest(candidate, now), exchange.metadata().requestId(), this);
        if (!done && route().retryable()) {
            schedule(this::checkStall, progress.untilNextCheck(now));
        }
        new VersionExpiryWatch(
                        entry,
                        candidate.upstream(),
                        exchange.metadata().model(),
                        () -> done || head != null,
                        () -> withdraw("not begun before the version of its weights expired"))
                .check();
    }

    // Reports later, because the exchange must not be queued again while it is being dispatched.
    private void reportNotSent(String reason) {
        String text = candidate.upstream().id() + ": " + reason;
        entry.loop().execute(() -> report(false, text));
    }

    // Ends the attempt without a failure of its upstream. The request may be about to begin there.
    private void withdraw(String reason) {
        long sentMillisAgo = Duration.between(sentAt, entry.clock().instant()).toMillis();
        entry.metrics().withdrawn(service());
        connection.abandon();
        finish(AttemptResult.CANCELLED);
        exchange.attemptFailed(
                true,
                true,
                "%s: %s, sent %d ms before"
                        .formatted(candidate.upstream().id(), reason, sentMillisAgo));
    }

    private ServiceId service() {
        return exchange.authorized().service();
    }

    private RouteRule route() {
        return exchange.authorized().route();
    }

    // Records the result and triggers a scan of the queue, because a slot has become free.
    private void finish(AttemptResult result) {
        done = true;
        discardBuffers();
        endPrefill();
        if (message != null) {
            message.ended(entry.clock().instant());
        }
        candidate.load().ended(result, entry.clock().instant());
        entry.queue(exchange.authorized().service()).capacityAvailable();
    }

    // Timers may refer to the attempt for some time after its end.
    private void discardBuffers() {
        receiver = null;
        bufferedBody = Unpooled.EMPTY_BUFFER;
        entry.bufferBudget().release(bufferHandle);
    }

    // The first data of the response shows that prefill is done.
    private void endPrefill() {
        candidate.load().prefillEnded(pendingPrefill);
        pendingPrefill = 0;
    }

    private void fail(String reason) {
        connection.abandon();
        end(reason, true, false);
    }

    private void schedule(Runnable check, Duration delay) {
        entry.loop().schedule(check, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    // Fails the attempt if its response stalls and the request can be sent elsewhere at once. Else
    // the upstream, which may be at work, is the only one that can still answer.
    private void checkStall() {
        if (done) {
            return;
        }
        Instant now = entry.clock().instant();
        Optional<String> reason = progress.stallReason(now);
        if (reason.isEmpty()) {
            schedule(this::checkStall, progress.untilNextCheck(now));
        } else if (exchange.canRepeat(now)) {
            fail(reason.get());
        } else if (exchange.choice().hasAttemptsLeft()) {
            schedule(this::checkStall, REPEAT_CHECK_INTERVAL);
        }
    }
}
