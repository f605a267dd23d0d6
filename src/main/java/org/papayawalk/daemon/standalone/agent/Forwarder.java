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
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.Outcome;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.idempotency.StoredAnswer;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyRow;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Header;
import org.papayawalk.wire.proto.ResponseData;
import org.papayawalk.wire.proto.ResponseHead;
import org.papayawalk.wire.proto.UpstreamRequest;

/** Sends an admitted request to the upstream and its answer to the entry. Thread-safe. */
public final class Forwarder {
    /** Bytes of an answer read at once. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** Largest answer of a non-idempotent call, in bytes. */
    private static final int MAX_ONCE_ANSWER_BYTES = 8 * 1024 * 1024;

    /** Status with which an upstream says that it is full and did not run the request. */
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Longest wait for an entry that does not read. */
    private static final Duration SEND_LIMIT = Duration.ofSeconds(30);

    /** Pause after which a caller comes back to an upstream that was full. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(500);

    /** Headers that belong to a single connection and are not passed on. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("connection", "transfer-encoding", "content-length", "keep-alive", "date");

    /** Sends idempotent requests, over connections used again. */
    private final BlockingHttpClient http;

    /** Sends non-idempotent requests, each over a new connection so that a failure is plain. */
    private final BlockingHttpClient onceHttp;

    /** Address of the upstream. */
    private final String address;

    /** Guards non-idempotent calls. */
    private final IdempotencyGuard onceGate;

    /** Tells whether the upstream has crashed. */
    private final CrashDetector crashCheck;

    /** Clock. */
    private final InstantSource clock;

    /** Lets suspected requests run one at a time. */
    private final Semaphore suspects = new Semaphore(1, true);

    /**
     * Creates a forwarder.
     *
     * @param http sends idempotent requests
     * @param onceHttp sends non-idempotent requests over new connections
     * @param address IP number and port of the upstream
     * @param onceGate guards non-idempotent calls
     * @param crashCheck tells whether the upstream has crashed
     * @param clock clock
     */
    public Forwarder(
            BlockingHttpClient http,
            BlockingHttpClient onceHttp,
            String address,
            IdempotencyGuard onceGate,
            CrashDetector crashCheck,
            InstantSource clock) {
        this.http = http;
        this.onceHttp = onceHttp;
        this.address = address;
        this.onceGate = onceGate;
        this.crashCheck = crashCheck;
        this.clock = clock;
    }

    /**
     * Forwards a call and sends all but the end message.
     *
     * @param call call
     * @return end to send
     */
    Result forward(AgentCall call) {
        if (call.cancelled()) {
            return new Result(CallCompletion.notRun("the caller has gone", Duration.ZERO), 0);
        }
        return call.request().getSuspect() ? forwardSuspect(call) : forwardNow(call);
    }

    /**
     * Forwards a request that was running when an upstream crashed, once no other such request runs
     * here.
     *
     * @param call call
     * @return end to send
     */
    private Result forwardSuspect(AgentCall call) {
        Duration left = Duration.between(clock.instant(), call.ticket().deadline());
        try {
            if (!suspects.tryAcquire(Math.max(0, left.toMillis()), TimeUnit.MILLISECONDS)) {
                String reason = "other requests that ran at crashes took its time";
                return new Result(CallCompletion.notRun(reason, FULL_PAUSE), 0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result(CallCompletion.tryElsewhere("the agent stops"), 0);
        }
        try {
            return forwardNow(call);
        } finally {
            suspects.release();
        }
    }

    /**
     * Forwards a call.
     *
     * @param call call
     * @return end to send
     */
    private Result forwardNow(AgentCall call) {
        return call.once() ? forwardOnce(call) : forwardPlain(call);
    }

    /**
     * Forwards a call that may be repeated.
     *
     * @param call call
     * @return end to send
     */
    private Result forwardPlain(AgentCall call) {
        call.forwarded(crashCheck.incarnation(), clock.instant());
        Either<Fault, StreamingResponse> opened = http.executeStreaming(httpCall(call.request()));
        if (opened.isLeft()) {
            return new Result(failure(call, opened.getLeft()), 0);
        }
        try (StreamingResponse stream = opened.get()) {
            call.reading(stream);
            return relay(call, stream);
        }
    }

    /**
     * Sends an answer on while it arrives.
     *
     * @param call call
     * @param stream answer of the upstream
     * @return end to send
     */
    private Result relay(AgentCall call, StreamingResponse stream) {
        String wanted = call.request().getDigest();
        String served =
                stream.headers().stream()
                        .filter(h -> h.name().equalsIgnoreCase(CallerHeaders.MODEL_DIGEST))
                        .map(HttpHeader::value)
                        .findFirst()
                        .orElse("");
        if (stream.status() == SERVICE_UNAVAILABLE) {
            return new Result(CallCompletion.notRun("the upstream is full", FULL_PAUSE), 0);
        }
        if (!wanted.isEmpty() && !served.equals(wanted)) {
            String reason = "the upstream answered with another version";
            return new Result(
                    new CallCompletion(Outcome.UNKNOWN, reason, Duration.ZERO, true, false), 0);
        }
        long sequence = 0;
        try (InputStream body = stream.body()) {
            call.send(Envelope.newBuilder().setResponseHead(head(stream)));
            byte[] buffer = new byte[BUFFER_BYTES];
            int n = body.read(buffer);
            while (n >= 0) {
                if (!call.entry().awaitWritable(SEND_LIMIT.toMillis())) {
                    return new Result(
                            CallCompletion.unknown("the entry does not read", false), sequence);
                }
                call.send(data(sequence, buffer, n));
                sequence++;
                n = body.read(buffer);
            }
            return new Result(CallCompletion.ANSWERED, sequence);
        } catch (IOException e) {
            return new Result(lost(call, e), sequence);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result(CallCompletion.unknown("the agent stops", false), sequence);
        }
    }

    /**
     * Forwards a call that may run at most once, and keeps its answer before it is sent on.
     *
     * @param call call
     * @return end to send
     */
    private Result forwardOnce(AgentCall call) {
        UpstreamRequest r = call.request();
        Optional<IdempotencyRow> started = onceGate.start(r.getOnceKey(), r.getOnceToken());
        if (started.isEmpty()) {
            String reason = "the call's row could not be moved to started";
            return new Result(CallCompletion.notRun(reason, Duration.ofSeconds(1)), 0);
        }
        call.forwarded(crashCheck.incarnation(), clock.instant());
        Either<Fault, StreamingResponse> opened = onceHttp.executeStreaming(httpCall(r));
        if (opened.isLeft() && opened.getLeft().kind() == FaultKind.UNREACHABLE) {
            onceGate.release(r.getOnceKey(), started.get());
            return new Result(failure(call, opened.getLeft()), 0);
        }
        if (opened.isLeft()) {
            return new Result(failure(call, opened.getLeft()), 0);
        }
        try (StreamingResponse stream = opened.get();
                InputStream body = stream.body()) {
            byte[] data = body.readNBytes(MAX_ONCE_ANSWER_BYTES);
            ResponseHead head = head(stream);
            onceGate.keep(r.getOnceKey(), started.get(), answer(stream, data));
            call.send(Envelope.newBuilder().setResponseHead(head));
            call.send(data(0, data, data.length));
            return new Result(CallCompletion.ANSWERED, 1);
        } catch (IOException e) {
            return new Result(lost(call, e), 0);
        }
    }

    /**
     * Makes the end of a request that got no answer.
     *
     * @param call call
     * @param fault what happened
     * @return end to send
     */
    private CallCompletion failure(AgentCall call, Fault fault) {
        if (fault.kind() == FaultKind.UNREACHABLE) {
            return CallCompletion.tryElsewhere(
                    "the upstream cannot be reached: " + fault.message());
        }
        return CallCompletion.unknown(fault.message(), crashCheck.crashed(call.incarnation()));
    }

    /**
     * Makes the end of an answer that broke off.
     *
     * @param call call
     * @param cause failure of the reading
     * @return end to send
     */
    private CallCompletion lost(AgentCall call, IOException cause) {
        if (call.cancelled()) {
            return CallCompletion.unknown("the call was broken off at its deadline", false);
        }
        String reason = "the answer broke off: " + cause.getMessage();
        return CallCompletion.unknown(reason, crashCheck.crashed(call.incarnation()));
    }

    /**
     * Builds the request to the upstream.
     *
     * @param r request of the entry
     * @return HTTP request
     */
    private ClientRequest httpCall(UpstreamRequest r) {
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

    /**
     * Builds the head message of an answer.
     *
     * @param stream answer
     * @return message
     */
    private static ResponseHead head(StreamingResponse stream) {
        ResponseHead.Builder head = ResponseHead.newBuilder().setStatus(stream.status());
        for (HttpHeader h : stream.headers()) {
            if (!CONNECTION_HEADERS.contains(h.name().toLowerCase(Locale.ROOT))) {
                head.addHeaders(Header.newBuilder().setName(h.name()).setValue(h.value()));
            }
        }
        return head.build();
    }

    /**
     * Builds a data message.
     *
     * @param sequence number of the message
     * @param buffer bytes
     * @param length number of bytes
     * @return message
     */
    private static Envelope.Builder data(long sequence, byte[] buffer, int length) {
        return Envelope.newBuilder()
                .setResponseData(
                        ResponseData.newBuilder()
                                .setSequence(sequence)
                                .setData(ByteString.copyFrom(buffer, 0, length)));
    }

    /**
     * Builds the answer to keep.
     *
     * @param stream answer
     * @param data its body
     * @return answer
     */
    private static StoredAnswer answer(StreamingResponse stream, byte[] data) {
        String type =
                stream.headers().stream()
                        .filter(h -> h.name().equalsIgnoreCase("Content-Type"))
                        .map(HttpHeader::value)
                        .findFirst()
                        .orElse("application/octet-stream");
        return new StoredAnswer(stream.status(), type, data, null);
    }

    /**
     * End of a forwarded call. Immutable.
     *
     * @param end end to send
     * @param dataCount data messages sent before it
     */
    record Result(CallCompletion end, long dataCount) {}
}
