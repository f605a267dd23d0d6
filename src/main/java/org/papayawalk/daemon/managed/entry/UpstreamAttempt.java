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
 * One sending of a request to one upstream. Tells its exchange once how it ended. Confined to the
 * traffic thread.
 */
final class UpstreamAttempt implements UpstreamListener {
    /** Most bytes of an answer that is passed on as a whole. */
    private static final int MAX_WHOLE_ANSWER = 8 * 1024 * 1024;

    /** Longest silence of a stream before it is continued elsewhere. */
    private static final Duration STREAM_SILENCE = Duration.ofMillis(1100);

    /** Targets that a whole answer may take before the request is sent elsewhere. */
    private static final int SILENT_TARGETS = 2;

    /** Status of an upstream that is not the one meant. */
    private static final int MISDIRECTED = 421;

    /** What all exchanges share. */
    private final EntryContext edge;

    /** Request that is sent. */
    private final Exchange exchange;

    /** Upstream. */
    private final PlacementCandidate choice;

    /** Cuts the stream into events. */
    private final VerbatimEventSplitter cutter = new VerbatimEventSplitter();

    /** Connection, once it is open. */
    private UpstreamConnection connection;

    /** Head of the answer; null before it came. */
    private HttpResponse head;

    /** Whether the answer states that the request did not run. */
    private boolean notRun;

    /** Whether the answer is passed on as it comes. */
    private boolean passing;

    /** Body of an answer that is passed on as a whole. */
    private ByteBuf whole = Unpooled.EMPTY_BUFFER;

    /** When something last came, or the request was sent. */
    private Instant progressAt = Instant.MIN;

    /** Length of the prompt while it counts as unread, in prompts of usual length. */
    private double prompt;

    /** Whether the sending is over. */
    private boolean done;

    /**
     * Creates a sending that was not begun.
     *
     * @param edge what all exchanges share
     * @param exchange request that is sent
     * @param choice upstream
     */
    UpstreamAttempt(EntryContext edge, Exchange exchange, PlacementCandidate choice) {
        this.edge = edge;
        this.exchange = exchange;
        this.choice = choice;
    }

    /** Opens a connection and sends the request. */
    void begin() {
        prompt = edge.promptLength(exchange.call().service(), exchange.promptTokens());
        choice.load().sent(prompt);
        UpstreamTable.Upstream upstream = edge.fleet().find(choice.upstream().id()).orElse(null);
        if (upstream == null) {
            lost("upstream is gone", false);
            return;
        }
        upstream.pool()
                .acquire(
                        !route().retryable(),
                        this::connected,
                        why -> lost("cannot connect: " + why, false));
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
        close(result);
        if (connection != null) {
            connection.abandon();
        }
    }

    /**
     * Lets the upstream send, or holds it back.
     *
     * @param flowing whether the upstream may send
     */
    void flow(boolean flowing) {
        if (connection != null && !done) {
            connection.flow(flowing);
        }
    }

    @Override
    public void sent() {
        progressAt = edge.clock().instant();
    }

    @Override
    public void head(HttpResponse response, ResponseMetadata reply) {
        Instant now = edge.clock().instant();
        progressAt = now;
        head = response;
        reply.load()
                .ifPresentOrElse(
                        l -> choice.load().loadReported(l, now),
                        () -> choice.load().responseStarted());
        int status = response.status().code();
        notRun = reply.notRun() || status == MISDIRECTED;
        if (status == MISDIRECTED) {
            edge.fleet().misdirected(choice.upstream().id(), now);
        }
        boolean events = route().kind() == RequestKind.STREAMING && status == 200;
        passing = events && reply.hasAuthenticationCode();
        if (passing) {
            exchange.stream().begin(response);
        } else {
            whole = Unpooled.buffer();
        }
    }

    @Override
    public void data(ByteBuf data) {
        progressAt = edge.clock().instant();
        promptRead();
        if (!passing) {
            whole.writeBytes(data);
            if (whole.readableBytes() > MAX_WHOLE_ANSWER) {
                fail("answer is too long to be passed on");
            }
            return;
        }
        for (VerbatimEventSplitter.Event e : cutter.feed(ByteBufUtil.getBytes(data))) {
            exchange.stream().pass(e, progressAt);
        }
        if (!exchange.stream().flowing()) {
            flow(false);
        }
    }

    @Override
    public void ended() {
        if (done) {
            return;
        }
        if (passing) {
            exchange.stream().passRest(cutter.takePartial());
            close(AttemptResult.ANSWERED);
            exchange.streamEnded();
            return;
        }
        String name = choice.upstream().id() + ": status " + head.status().code();
        if (notRun) {
            close(AttemptResult.REFUSED);
            exchange.failed(false, true, name + ", not run");
            return;
        }
        boolean failure = head.status().code() >= 500;
        close(failure ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED);
        exchange.answered(new BufferedResponse(head, ByteBufUtil.getBytes(whole)), name);
    }

    @Override
    public void lost(String why, boolean connected) {
        if (done) {
            return;
        }
        close(connected ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE);
        if (connected) {
            edge.suspect(exchange.fingerprint(), choice.upstream());
        }
        exchange.failed(connected, connected, choice.upstream().id() + ": " + why);
    }

    /**
     * Sends the request.
     *
     * @param opened connection
     */
    private void connected(UpstreamConnection opened) {
        if (done) {
            opened.abandon();
            return;
        }
        connection = opened;
        Instant now = edge.clock().instant();
        opened.send(exchange.upstreamRequest(choice, now), exchange.requestId(), this);
        if (!done && route().retryable()) {
            watchSilence();
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
    private void close(AttemptResult result) {
        done = true;
        promptRead();
        choice.load().ended(result, edge.clock().instant());
        edge.line(exchange.call().service()).roomMade();
    }

    /** Counts the prompt as read. */
    private void promptRead() {
        choice.load().prefillEnded(prompt);
        prompt = 0;
    }

    /**
     * Drops the sending as failed.
     *
     * @param why what happened
     */
    private void fail(String why) {
        connection.abandon();
        lost(why, true);
    }

    /**
     * Returns how long nothing may come before the request is sent elsewhere.
     *
     * @return time
     */
    private Duration silenceLimit() {
        return route().kind() == RequestKind.STREAMING
                ? STREAM_SILENCE
                : route().targetLatency().multipliedBy(SILENT_TARGETS);
    }

    /** Continues elsewhere when nothing comes for too long. */
    private void watchSilence() {
        Duration limit = silenceLimit();
        Instant last = progressAt;
        Duration left = Duration.between(edge.clock().instant(), last.plus(limit));
        edge.loop()
                .schedule(
                        () -> {
                            if (done) {
                                return;
                            }
                            if (!progressAt.equals(last)) {
                                watchSilence();
                            } else if (exchange.mayTryElsewhere()) {
                                fail("silent for " + limit.toMillis() + " ms");
                            }
                        },
                        Math.max(1, left.toMillis()),
                        TimeUnit.MILLISECONDS);
    }
}
