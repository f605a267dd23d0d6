package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.call.ReplyFacts;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.stream.EventCutter;

/**
 * One sending of a request to one upstream. Tells its exchange once how it ended. Confined to the
 * traffic thread.
 */
final class UpstreamAttempt implements UpstreamListener {
    /** Most bytes of an answer that is passed on as a whole. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** Longest silence of a stream before it is continued elsewhere. */
    private static final Duration STREAM_STALL_TIMEOUT = Duration.ofMillis(1100);

    /** Targets that a whole answer may take before the request is sent elsewhere. */
    private static final int STALL_TIMEOUT_TARGETS = 2;

    /** Status of an upstream that is not the one meant. */
    private static final int MISDIRECTED_REQUEST = 421;

    /** What all exchanges share. */
    private final EntryContext entry;

    /** Request that is sent. */
    private final Exchange exchange;

    /** Upstream. */
    private final PlacementCandidate candidate;

    /** Cuts the stream into events. */
    private final EventCutter cutter = new EventCutter();

    /** Connection, once it is open. */
    private UpstreamConnection connection;

    /** Head of the answer; null before it came. */
    private HttpResponse head;

    /** Whether the answer states that the request did not run. */
    private boolean notRun;

    /** Whether the answer is passed on as it comes. */
    private boolean streaming;

    /** Body of an answer that is passed on as a whole. */
    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;

    /** When something last came, or the request was sent. */
    private Instant lastProgressAt = Instant.MIN;

    /** Length of the prompt while it counts as unread, in prompts of usual length. */
    private double unreadPrompt;

    /** Whether the sending is over. */
    private boolean done;

    /**
     * Creates a sending that was not begun.
     *
     * @param entry what all exchanges share
     * @param exchange request that is sent
     * @param candidate upstream
     */
    UpstreamAttempt(EntryContext entry, Exchange exchange, PlacementCandidate candidate) {
        this.entry = entry;
        this.exchange = exchange;
        this.candidate = candidate;
    }

    /** Opens a connection and sends the request. */
    void start() {
        unreadPrompt =
                entry.relativePromptLength(exchange.call().service(), exchange.promptTokens());
        candidate.load().sent(unreadPrompt);
        UpstreamTable.Upstream upstream =
                entry.upstreams().find(candidate.upstream().id()).orElse(null);
        if (upstream == null) {
            onFailure("upstream is gone", false);
            return;
        }
        upstream.pool()
                .acquire(
                        !route().retryable(),
                        this::sendOn,
                        why -> onFailure("cannot connect: " + why, false));
    }

    /**
     * Drops the sending.
     *
     * @param result how it counts for the upstream
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
     * Lets the upstream send, or holds it back.
     *
     * @param flowing whether the upstream may send
     */
    void setReadEnabled(boolean flowing) {
        if (connection != null && !done) {
            connection.setReadEnabled(flowing);
        }
    }

    @Override
    public void onSent() {
        lastProgressAt = entry.clock().instant();
    }

    @Override
    public void onHead(HttpResponse response, ReplyFacts reply) {
        Instant now = entry.clock().instant();
        lastProgressAt = now;
        head = response;
        reply.load()
                .ifPresentOrElse(
                        l -> candidate.load().loadReported(l, now),
                        () -> candidate.load().responseStarted());
        int status = response.status().code();
        notRun = reply.notRun() || status == MISDIRECTED_REQUEST;
        if (status == MISDIRECTED_REQUEST) {
            entry.upstreams().pauseMisdirected(candidate.upstream().id(), now);
        }
        boolean events = route().kind() == RequestKind.STREAMING && status == 200;
        streaming = events && reply.genuine();
        if (streaming) {
            exchange.stream().start(response);
        } else {
            bufferedBody = Unpooled.buffer();
        }
    }

    @Override
    public void onData(ByteBuf data) {
        lastProgressAt = entry.clock().instant();
        markPromptRead();
        if (!streaming) {
            bufferedBody.writeBytes(data);
            if (bufferedBody.readableBytes() > MAX_BUFFERED_RESPONSE_BYTES) {
                fail("answer is too long to be passed on");
            }
            return;
        }
        for (EventCutter.Event e : cutter.take(ByteBufUtil.getBytes(data))) {
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
            exchange.stream().forwardRemainder(cutter.rest());
            finish(AttemptResult.ANSWERED);
            exchange.streamCompleted();
            return;
        }
        String name = candidate.upstream().id() + ": status " + head.status().code();
        if (notRun) {
            finish(AttemptResult.REFUSED);
            exchange.attemptFailed(false, true, name + ", not run");
            return;
        }
        boolean failure = head.status().code() >= 500;
        finish(failure ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED);
        exchange.responseReceived(
                new BufferedResponse(head, ByteBufUtil.getBytes(bufferedBody)), name);
    }

    @Override
    public void onFailure(String why, boolean connected) {
        if (done) {
            return;
        }
        finish(connected ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE);
        if (connected) {
            entry.checkForCrash(exchange.fingerprint(), candidate.upstream());
        }
        exchange.attemptFailed(connected, connected, candidate.upstream().id() + ": " + why);
    }

    /**
     * Sends the request.
     *
     * @param newConnection connection
     */
    private void sendOn(UpstreamConnection newConnection) {
        if (done) {
            newConnection.abandon();
            return;
        }
        connection = newConnection;
        Instant now = entry.clock().instant();
        newConnection.send(exchange.upstreamRequest(candidate, now), exchange.requestId(), this);
        if (!done && route().retryable()) {
            scheduleStallCheck();
        }
    }

    /**
     * Returns the route of the request.
     *
     * @return route
     */
    private RouteRule route() {
        return exchange.call().route();
    }

    /**
     * Counts the end of the sending.
     *
     * @param result how it ended
     */
    private void finish(AttemptResult result) {
        done = true;
        markPromptRead();
        candidate.load().ended(result, entry.clock().instant());
        entry.queue(exchange.call().service()).capacityAvailable();
    }

    /** Counts the prompt as read. */
    private void markPromptRead() {
        candidate.load().prefillEnded(unreadPrompt);
        unreadPrompt = 0;
    }

    /**
     * Drops the sending as failed.
     *
     * @param why what happened
     */
    private void fail(String why) {
        connection.abandon();
        onFailure(why, true);
    }

    /**
     * Returns how long nothing may come before the request is sent elsewhere.
     *
     * @return time
     */
    private Duration stallTimeout() {
        return route().kind() == RequestKind.STREAMING
                ? STREAM_STALL_TIMEOUT
                : route().targetLatency().multipliedBy(STALL_TIMEOUT_TARGETS);
    }

    /** Continues elsewhere when nothing comes for too long. */
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
                                fail("silent for " + limit.toMillis() + " ms");
                            }
                        },
                        Math.max(1, left.toMillis()),
                        TimeUnit.MILLISECONDS);
    }
}
