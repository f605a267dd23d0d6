package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartVerdict;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.http.ConnectFailures;
import org.papayawalk.http.Connector;
import org.papayawalk.log.Event;

/**
 * Keeps requests that crash upstreams from reaching further ones: repeats of one request, and
 * requests that share a part of their prompts. Confined to the event loop thread, except the
 * registries, which are thread-safe.
 */
final class PoisonGuard {
    /** Reason of a refusal, for the log. */
    static final String REASON = "poison request: upstreams crashed while answering such requests";

    private static final int CRASHES_BEFORE_REFUSAL = 3;

    /** Time for which a crash counts against a request. */
    private static final Duration CRASH_RETENTION = Duration.ofSeconds(60);

    private static final int CRASH_CHECK_TIMEOUT_MILLIS = 300;

    /** Time after its answer was abandoned in which an upstream may still crash of it. */
    private static final int LATE_CRASH_MILLIS = 300;

    /** Retry delay for callers of a request that crashed upstreams itself. */
    private static final Duration POISON_RETRY_AFTER = Duration.ofSeconds(5);

    private final EventLoop loop;

    private final InstantSource clock;

    private final SuspectRegistry suspects =
            new SuspectRegistry(CRASHES_BEFORE_REFUSAL, CRASH_RETENTION);

    private final PromptPartRegistry promptParts;

    /**
     * Creates a guard without evidence.
     *
     * @param loop event loop thread
     * @param clock monotonic clock
     * @param self this host
     * @param otherEntries hosts of the other running entries, by their IP addresses
     */
    PoisonGuard(
            EventLoop loop, InstantSource clock, HostId self, Supplier<Set<HostId>> otherEntries) {
        this.loop = loop;
        this.clock = clock;
        this.promptParts =
                new PromptPartRegistry(
                        part ->
                                RendezvousHash.rank(self, otherEntries.get(), part.toString())
                                        == 0);
    }

    /**
     * Returns the evidence against single requests.
     *
     * @return thread-safe registry
     */
    SuspectRegistry suspects() {
        return suspects;
    }

    /**
     * Returns the evidence on parts of prompts.
     *
     * @return thread-safe registry
     */
    PromptPartRegistry promptParts() {
        return promptParts;
    }

    /**
     * Returns whether a request may only run as a trial.
     *
     * @param request signature of the request
     * @param now present time
     * @return true if a part of its prompt is suspected
     */
    boolean needsTrial(RequestSignature request, Instant now) {
        return promptParts.verdict(request.promptParts(), now) == PartVerdict.TRIAL;
    }

    /**
     * Begins a trial of a request.
     *
     * @param request signature of the request
     * @param now present time
     * @return false if a trial of one of the suspected parts has begun just before
     */
    boolean beginTrial(RequestSignature request, Instant now) {
        return promptParts.beginTrial(request.promptParts(), now);
    }

    /**
     * Returns whether a request may not be sent to any upstream.
     *
     * @param request signature of the request
     * @param now present time
     * @return true if it, or a part of its prompt, has crashed too many upstreams
     */
    boolean isRefused(RequestSignature request, Instant now) {
        return suspects.verdict(request.fingerprint(), now) == SuspectRegistry.Verdict.REFUSED
                || promptParts.verdict(request.promptParts(), now) == PartVerdict.REFUSED;
    }

    /**
     * Returns whether a request that an upstream may have run may be sent to another one.
     *
     * @param request signature of the request
     * @param now present time
     * @return false also if a part of its prompt is only suspected
     */
    boolean mayRepeat(RequestSignature request, Instant now) {
        return suspects.verdict(request.fingerprint(), now) != SuspectRegistry.Verdict.REFUSED
                && promptParts.verdict(request.promptParts(), now) == PartVerdict.CLEAR;
    }

    /**
     * Returns whether a request may be what crashes an upstream that ran it.
     *
     * @param request signature of the request
     * @param now present time
     * @return true if its prompt has parts, or an upstream has crashed while it ran
     */
    boolean mayCrash(RequestSignature request, Instant now) {
        return !request.promptParts().isEmpty()
                || suspects.verdict(request.fingerprint(), now) != SuspectRegistry.Verdict.CLEAR;
    }

    /**
     * Returns when the caller of a refused request may retry.
     *
     * @param request signature of the request
     * @param now present time
     * @return delay from now
     */
    Duration retryAfter(RequestSignature request, Instant now) {
        boolean known =
                suspects.verdict(request.fingerprint(), now) == SuspectRegistry.Verdict.REFUSED;
        return known ? POISON_RETRY_AFTER : promptParts.retryAfter(request.promptParts(), now);
    }

    /**
     * Records that an upstream has answered a request completely.
     *
     * @param request signature of the request
     * @param begunAt when the answer began
     */
    void answered(RequestSignature request, Instant begunAt) {
        promptParts.recordAnswer(request.promptParts(), begunAt);
    }

    /**
     * Handles an answer that ended with its connection, as one does that a crash cuts off at the
     * end of an event. It speaks for the parts of its prompt only if its upstream still listens.
     *
     * @param request signature of the request
     * @param begunAt when the answer began
     * @param upstream upstream that answered
     */
    void endedWithConnection(
            RequestSignature request, Instant begunAt, UpstreamRegistration upstream) {
        if (!request.promptParts().isEmpty()) {
            check(
                    upstream,
                    () -> answered(request, begunAt),
                    () -> recordCrash(request, true, upstream.process()),
                    () -> {});
        }
    }

    /**
     * Checks whether an upstream crashed while it ran a request, and counts the crash against the
     * request. The upstream counts as crashed if it resets a new connection. One that does not
     * respond may be cut off or frozen, which is no fault of the request.
     *
     * @param request signature of the request
     * @param answerBegun whether the upstream had begun to answer
     * @param upstream upstream whose connection was lost
     * @param checked called once afterwards, within the timeout of the check
     */
    void connectionLost(
            RequestSignature request,
            boolean answerBegun,
            UpstreamRegistration upstream,
            Runnable checked) {
        check(
                upstream,
                () -> {},
                () -> recordCrash(request, answerBegun, upstream.process()),
                checked);
    }

    /**
     * Checks whether an upstream crashes although its answer is no longer awaited, as the caller
     * has left. Only for requests with a suspected part, of which few run.
     *
     * @param request signature of the request
     * @param upstream upstream that had begun to answer
     * @param now present time
     */
    void abandoned(RequestSignature request, UpstreamRegistration upstream, Instant now) {
        if (promptParts.verdict(request.promptParts(), now) != PartVerdict.CLEAR) {
            loop.schedule(
                    () -> connectionLost(request, true, upstream, () -> {}),
                    LATE_CRASH_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void check(
            UpstreamRegistration upstream, Runnable listens, Runnable crashed, Runnable checked) {
        Connector.connect(
                loop,
                upstream.address(),
                CRASH_CHECK_TIMEOUT_MILLIS,
                channel -> {
                    channel.close();
                    listens.run();
                    checked.run();
                },
                cause -> {
                    if (ConnectFailures.provesNoListener(cause)) {
                        crashed.run();
                    }
                    checked.run();
                });
    }

    private void recordCrash(
            RequestSignature request, boolean answerBegun, UpstreamProcess process) {
        Instant now = clock.instant();
        List<PromptPartId> parts = answerBegun ? request.promptParts() : List.of();
        promptParts.recordCrash(parts, process, now);
        if (suspects.recordCrash(request.fingerprint(), process.toString(), now)) {
            Event.named("request-suspected")
                    .with("fingerprint", request.fingerprint())
                    .with("upstream", process)
                    .with("verdict", suspects.verdict(request.fingerprint(), now))
                    .with("parts", parts)
                    .with("parts_verdict", promptParts.verdict(parts, now))
                    .warn();
        }
    }
}
