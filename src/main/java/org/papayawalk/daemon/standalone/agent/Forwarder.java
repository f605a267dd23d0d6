package org.papayawalk.daemon.standalone.agent;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.adapter.standalone.StreamingResponse;
import org.papayawalk.adapter.standalone.TimedInputStream;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.Outcome;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.idempotency.StoredAnswer;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyRow;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Header;
import org.papayawalk.wire.proto.ResponseData;
import org.papayawalk.wire.proto.ResponseHead;
import org.papayawalk.wire.proto.UpstreamRequest;

/**
 * Forwards admitted requests to the upstream and streams the responses to the entry.
 *
 * <p>Thread-safe; each call blocks the thread that forwards it.
 */
public final class Forwarder {
    /** Maximum length of a data message in bytes. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Maximum length in bytes of the response body of a non-idempotent call. */
    private static final int MAX_STORED_BODY_BYTES = 8 * 1024 * 1024;

    /**
     * Maximum time to read the response body of a non-idempotent call, which continues after its
     * deadline; the longest deadline.
     */
    private static final Duration STORED_BODY_TIMEOUT = Duration.ofSeconds(120);

    /** HTTP status of an overloaded upstream, which did not run the request. */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Maximum time to wait for an entry whose connection is not writable. */
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(30);

    /** Delay after which a caller may retry while the upstream is overloaded. */
    private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofMillis(500);

    /** Headers that apply to a single connection and are not forwarded, in lower case. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("connection", "transfer-encoding", "content-length", "keep-alive", "date");

    /**
     * Opens a new connection for each request: a failure to connect then proves that the request
     * was not sent, and no late answer to another request can come on it.
     */
    private final BlockingHttpClient http;

    private final String address;

    private final IdempotencyGuard idempotencyGuard;

    private final CrashDetector crashDetector;

    private final InstantSource clock;

    /** Lets suspect requests, which may be poison requests, run one at a time. */
    private final Semaphore suspectPermit = new Semaphore(1, true);

    /**
     * Creates a forwarder.
     *
     * @param http sends requests, each over a new connection
     * @param address IP address and port of the upstream
     * @param idempotencyGuard ensures that non-idempotent calls run at most once
     * @param crashDetector detects crashes of the upstream
     * @param clock clock
     */
    public Forwarder(
            BlockingHttpClient http,
            String address,
            IdempotencyGuard idempotencyGuard,
            CrashDetector crashDetector,
            InstantSource clock) {
        this.http = http;
        this.address = address;
        this.idempotencyGuard = idempotencyGuard;
        this.crashDetector = crashDetector;
        this.clock = clock;
    }

    /**
     * Forwards a call and sends all messages of the response except the end message. Blocks until
     * the response has ended.
     *
     * @param call call whose ticket was started
     * @return completion for the end message
     */
    Result forward(AgentCall call) {
        if (call.isCancelled()) {
            return new Result(
                    CallCompletion.notRun(
                            "the call was canceled before it was forwarded", Duration.ZERO),
                    0);
        }
        return call.request().getSuspect() ? forwardSuspect(call) : forwardByMethod(call);
    }

    // Waits until no other suspect request runs here, at most until the deadline of the call.
    private Result forwardSuspect(AgentCall call) {
        Duration left = Duration.between(clock.instant(), call.ticket().deadline());
        try {
            if (!suspectPermit.tryAcquire(Math.max(0, left.toMillis()), TimeUnit.MILLISECONDS)) {
                String reason = "the deadline passed while other suspect requests were running";
                return new Result(CallCompletion.notRun(reason, OVERLOAD_RETRY_AFTER), 0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result(CallCompletion.tryElsewhere("the agent is shutting down"), 0);
        }
        try {
            return forwardByMethod(call);
        } finally {
            suspectPermit.release();
        }
    }

    private Result forwardByMethod(AgentCall call) {
        return call.isNonIdempotent() ? forwardNonIdempotent(call) : forwardIdempotent(call);
    }

    private Result forwardIdempotent(AgentCall call) {
        call.recordForwarded(crashDetector.lastIncarnation(), clock.instant());
        Either<Fault, StreamingResponse> opened = http.executeStreaming(toHttpCall(call.request()));
        if (opened.isLeft()) {
            return new Result(requestFailed(call, opened.getLeft()), 0);
        }
        try (StreamingResponse stream = opened.get()) {
            call.attachStream(stream);
            return streamResponse(call, stream);
        }
    }

    // Sends the response to the entry as it arrives.
    private Result streamResponse(AgentCall call, StreamingResponse stream) {
        String wanted = call.request().getDigest();
        String served =
                stream.headers().stream()
                        .filter(h -> h.name().equalsIgnoreCase(CallerHeaders.MODEL_DIGEST))
                        .map(HttpHeader::value)
                        .findFirst()
                        .orElse("");
        if (stream.status() == SERVICE_UNAVAILABLE) {
            return new Result(
                    CallCompletion.notRun(
                            "the upstream is overloaded, it answered with status 503",
                            OVERLOAD_RETRY_AFTER),
                    0);
        }
        if (!wanted.isEmpty() && !served.equals(wanted)) {
            String reason =
                    "the upstream answered with version \""
                            + served
                            + "\", expected \""
                            + wanted
                            + "\"";
            return new Result(
                    new CallCompletion(Outcome.UNKNOWN, reason, Duration.ZERO, true, false), 0);
        }
        long sequence = 0;
        try {
            InputStream body = stream.body();
            call.sendHead(toResponseHead(stream));
            byte[] buffer = new byte[BUFFER_BYTES];
            int n = body.read(buffer);
            while (n >= 0) {
                if (!call.entry().awaitWritable(SEND_TIMEOUT.toMillis())) {
                    return new Result(
                            CallCompletion.unknown(
                                    "the entry did not read the response within "
                                            + SEND_TIMEOUT.toSeconds()
                                            + " s",
                                    false),
                            sequence);
                }
                call.send(toDataMessage(sequence, buffer, n));
                sequence++;
                n = body.read(buffer);
            }
            return new Result(bodyEnded(call, stream.bodyEnd()), sequence);
        } catch (IOException e) {
            return new Result(responseInterrupted(call, e), sequence);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result(
                    CallCompletion.unknown("the agent is shutting down", false), sequence);
        }
    }

    // Runs the call at most once, and stores its response before sending it to the entry.
    private Result forwardNonIdempotent(AgentCall call) {
        UpstreamRequest r = call.request();
        Optional<IdempotencyRow> started =
                idempotencyGuard.markStarted(r.getOnceKey(), r.getOnceToken());
        if (started.isEmpty()) {
            String reason = "the row of the non-idempotent call could not be moved to STARTED";
            return new Result(CallCompletion.notRun(reason, Duration.ofSeconds(1)), 0);
        }
        call.recordForwarded(crashDetector.lastIncarnation(), clock.instant());
        Either<Fault, StreamingResponse> opened = http.executeStreaming(toHttpCall(r));
        if (opened.isLeft() && opened.getLeft().kind() == FaultKind.UNREACHABLE) {
            idempotencyGuard.release(r.getOnceKey(), started.get());
            return new Result(requestFailed(call, opened.getLeft()), 0);
        }
        if (opened.isLeft()) {
            return new Result(requestFailed(call, opened.getLeft()), 0);
        }
        // The body is not closed, as that would read it to its end.
        try (StreamingResponse stream = opened.get()) {
            InputStream body = new TimedInputStream(stream.body(), STORED_BODY_TIMEOUT);
            byte[] data = body.readNBytes(MAX_STORED_BODY_BYTES + 1);
            if (data.length > MAX_STORED_BODY_BYTES) {
                throw new IOException("body is longer than " + MAX_STORED_BODY_BYTES + " bytes");
            }
            ResponseHead head = toResponseHead(stream);
            idempotencyGuard.storeAnswer(
                    r.getOnceKey(), started.get(), toStoredAnswer(stream, data));
            call.sendHead(head);
            call.send(toDataMessage(0, data, data.length));
            return new Result(bodyEnded(call, stream.bodyEnd()), 1);
        } catch (IOException e) {
            return new Result(responseInterrupted(call, e), 0);
        }
    }

    // Completion of a request without a response.
    private CallCompletion requestFailed(AgentCall call, Fault fault) {
        if (fault.kind() == FaultKind.UNREACHABLE) {
            return CallCompletion.tryElsewhere(
                    "the upstream at " + address + " is unreachable: " + fault.message());
        }
        return CallCompletion.unknown(
                fault.message(), crashDetector.detectCrash(call.incarnation()));
    }

    // Completion of a response whose body ended in order, which the end of a crashed process also
    // does if only its connection ends the body.
    private CallCompletion bodyEnded(AgentCall call, BodyEnd end) {
        boolean crashed =
                end == BodyEnd.CONNECTION && crashDetector.detectCrash(call.incarnation());
        return crashed ? CallCompletion.ANSWERED_BEFORE_CRASH : CallCompletion.ANSWERED;
    }

    // Completion of a response that ended early.
    private CallCompletion responseInterrupted(AgentCall call, IOException cause) {
        if (call.isCancelled()) {
            return CallCompletion.unknown(
                    "the call was canceled or its deadline passed during the response", false);
        }
        String reason = "the response of the upstream was interrupted: " + cause.getMessage();
        return CallCompletion.unknown(reason, crashDetector.detectCrash(call.incarnation()));
    }

    private ClientRequest toHttpCall(UpstreamRequest r) {
        List<HttpHeader> headers = new ArrayList<>();
        for (Header h : r.getHeadersList()) {
            headers.add(new HttpHeader(h.getName(), h.getValue()));
        }
        if (r.getResumeFrom() > 0) {
            String from = Integer.toString(r.getResumeFrom());
            headers.add(new HttpHeader(CallerHeaders.RESUME_FROM, from));
        }
        byte[] body = r.getBody().isEmpty() ? null : r.getBody().toByteArray();
        return new ClientRequest("upstream", address, r.getMethod(), r.getPath(), headers, body);
    }

    private static ResponseHead toResponseHead(StreamingResponse stream) {
        ResponseHead.Builder head = ResponseHead.newBuilder().setStatus(stream.status());
        for (HttpHeader h : stream.headers()) {
            if (!CONNECTION_HEADERS.contains(h.name().toLowerCase(Locale.ROOT))) {
                head.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value()));
            }
        }
        return head.build();
    }

    private static Envelope.Builder toDataMessage(long sequence, byte[] buffer, int length) {
        return Envelope.newBuilder()
                .setResponseData(
                        ResponseData.newBuilder()
                                .setSequence(sequence)
                                .setData(ByteString.copyFrom(buffer, 0, length)));
    }

    private static StoredAnswer toStoredAnswer(StreamingResponse stream, byte[] data) {
        String type =
                stream.headers().stream()
                        .filter(h -> h.name().equalsIgnoreCase("Content-Type"))
                        .map(HttpHeader::value)
                        .findFirst()
                        .orElse("application/octet-stream");
        return new StoredAnswer(stream.status(), type, data, null, null);
    }

    /**
     * Result of a forwarded call. Immutable.
     *
     * @param completion completion for the end message
     * @param dataCount number of data messages sent before it
     */
    record Result(CallCompletion completion, long dataCount) {}
}
