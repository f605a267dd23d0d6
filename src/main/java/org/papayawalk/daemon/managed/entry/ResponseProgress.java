package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.RunningTime;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;

/**
 * Progress of the response to one attempt. Decides when it has stalled, so that another upstream
 * can still answer in time. Time in which the entry itself stood still is no silence of an
 * upstream, and nothing is decided before what came meanwhile is read; the deadline stays. Confined
 * to the event loop thread.
 */
final class ResponseProgress {
    /** Time without data after which a stream resumes at another upstream. */
    private static final Duration STREAM_STALL_TIMEOUT = Duration.ofMillis(1100);

    /**
     * Time without data, in multiples of the route's latency target, after which a request with a
     * buffered response is sent to another upstream.
     */
    private static final int STALL_TIMEOUT_TARGETS = 2;

    private final RunningTime runningTime;

    private final Duration stallTimeout;

    /** When the response is due. */
    private final Instant deadline;

    /** Last moment at which another upstream can answer within the target. */
    private final Instant lastRepeatAt;

    /** Running time at which data was last received, or the request was sent. */
    private Instant lastDataAt = Instant.MIN;

    /** Running time at which the head of the response was received; null until then. */
    private Instant headAt;

    /** Content-Length, negative if the response states none. */
    private long statedBytes;

    private long receivedBytes;

    /** Progress of the event stream; null unless events are forwarded. */
    private StreamProgress stream;

    /**
     * Creates the progress of a request that is not sent yet.
     *
     * @param route route of the request
     * @param deadline when the response is due
     * @param runningTime time without the standstills of the entry
     */
    ResponseProgress(RouteRule route, Instant deadline, RunningTime runningTime) {
        this.runningTime = runningTime;
        this.deadline = deadline;
        lastRepeatAt = deadline.minus(route.targetLatency());
        stallTimeout =
                route.kind() == RequestKind.STREAMING
                        ? STREAM_STALL_TIMEOUT
                        : route.targetLatency().multipliedBy(STALL_TIMEOUT_TARGETS);
    }

    /**
     * Records that the request is sent.
     *
     * @param now present time
     */
    void sent(Instant now) {
        lastDataAt = runningTime.at(now);
    }

    /**
     * Records the head of the response.
     *
     * @param response head
     * @param streaming whether its events are forwarded as they are received
     * @param now present time
     */
    void headReceived(HttpResponse response, boolean streaming, Instant now) {
        lastDataAt = runningTime.at(now);
        headAt = lastDataAt;
        statedBytes = HttpUtil.getContentLength(response, -1L);
        stream = streaming ? new StreamProgress(now, runningTime) : null;
    }

    /**
     * Records part of the body.
     *
     * @param bytes number of bytes
     * @param now present time
     */
    void dataReceived(int bytes, Instant now) {
        lastDataAt = runningTime.at(now);
        receivedBytes += bytes;
        if (stream != null) {
            stream.bytesReceived(now);
        }
    }

    /**
     * Returns the progress of the event stream.
     *
     * @return progress, null unless events are forwarded
     */
    StreamProgress stream() {
        return stream;
    }

    /**
     * Returns whether the event stream brings bytes but no events.
     *
     * @param now present time
     * @return false for a response that is no event stream
     */
    boolean isStuck(Instant now) {
        return stream != null && stream.isStuck(now);
    }

    /**
     * Returns why the request should be sent to another upstream, if one is left.
     *
     * @param now present time
     * @return reason for the log, empty if the response has not stalled
     */
    Optional<String> stallReason(Instant now) {
        if (!runningTime.isSettled(now)) {
            return Optional.empty();
        }
        if (!lastDataAt.plus(stallTimeout).isAfter(runningTime.at(now))) {
            return Optional.of("no data received for " + stallTimeout.toMillis() + " ms");
        }
        if (isStuck(now)) {
            long millis = StreamProgress.EVENT_TIMEOUT.toMillis();
            return Optional.of("no event received for " + millis + " ms");
        }
        if (isBodyEndless(now)) {
            return Optional.of("body is not expected to end before the deadline");
        }
        return Optional.empty();
    }

    /**
     * Returns how long to wait until the next check of a response that has not stalled.
     *
     * @param now present time
     * @return time from now
     */
    Duration untilNextCheck(Instant now) {
        if (!runningTime.isSettled(now)) {
            return RunningTime.TICK_INTERVAL;
        }
        Instant next = lastDataAt.plus(stallTimeout);
        if (stream != null && stream.stuckAt().isBefore(next)) {
            next = stream.stuckAt();
        }
        Duration untilNext = Duration.between(runningTime.at(now), next);
        Duration untilRepeatEnds = Duration.between(now, lastRepeatAt);
        boolean repeatEndsBefore =
                lastRepeatAt.isAfter(now) && untilRepeatEnds.compareTo(untilNext) < 0;
        return repeatEndsBefore ? untilRepeatEnds : untilNext;
    }

    // False for streams, and for a body that has come for less than the stall timeout.
    private boolean isBodyEndless(Instant now) {
        Instant running = runningTime.at(now);
        boolean young = headAt == null || headAt.plus(stallTimeout).isAfter(running);
        if (stream != null || young || lastRepeatAt.isAfter(now)) {
            return false;
        }
        Instant runningDeadline = running.plus(Duration.between(now, deadline));
        return !new BodyPace(headAt, statedBytes, receivedBytes)
                .endsInTime(running, runningDeadline);
    }
}
