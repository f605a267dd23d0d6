package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.RunningTime;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.desired.TrafficShare;
import org.papayawalk.core.id.ServiceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks when a response counts as stalled, beside standstills of the entry itself. */
public final class ResponseProgressTest {
    /** Time without data after which a response has stalled: twice the target of the route. */
    private static final long STALL_MILLIS = 1000;

    private static final long DEADLINE_MILLIS = 3000;

    private static final Optional<String> SILENT = Optional.of("no data received for 1000 ms");

    private static final Optional<String> ENDLESS =
            Optional.of("body is not expected to end before the deadline");

    private RunningTime runningTime;

    private ResponseProgress progress;

    /** Sends a request at time 0. */
    @BeforeMethod
    public void send() {
        runningTime = new RunningTime(at(0));
        progress = new ResponseProgress(route(), at(DEADLINE_MILLIS), runningTime);
        progress.sent(at(0));
    }

    /** An upstream that is silent while the entry runs has stalled at the timeout. */
    @Test
    public void silenceStallsAtTimeout() {
        run(0, STALL_MILLIS - 1);
        assertEquals(progress.stallReason(at(STALL_MILLIS - 1)), Optional.empty());
        assertEquals(progress.untilNextCheck(at(STALL_MILLIS - 1)), Duration.ofMillis(1));
        assertEquals(progress.stallReason(at(STALL_MILLIS)), SILENT);
    }

    /** The first timer after a standstill knows nothing of what lies unread. */
    @Test
    public void nothingHasStalledRightAfterStandstill() {
        run(0, 950);
        assertEquals(progress.stallReason(at(2250)), Optional.empty());
        assertEquals(progress.untilNextCheck(at(2250)), RunningTime.TICK_INTERVAL);
        runningTime.tick(at(2250));
        assertEquals(progress.stallReason(at(2250)), Optional.empty());
        assertEquals(progress.untilNextCheck(at(2250)), RunningTime.TICK_INTERVAL);
    }

    /** The silence before and after a standstill counts, but not the standstill. */
    @Test
    public void standstillIsNoSilence() {
        run(0, 400);
        run(1700, 2250);
        assertEquals(progress.stallReason(at(2299)), Optional.empty());
        assertEquals(progress.untilNextCheck(at(2250)), Duration.ofMillis(50));
        assertEquals(progress.stallReason(at(2300)), SILENT);
    }

    /** The last moment for a repeat is checked by the present time, whatever the standstills. */
    @Test
    public void lastMomentForRepeatIsChecked() {
        run(0, 400);
        run(1700, 2200);
        progress.dataReceived(1, at(2200));
        assertEquals(progress.untilNextCheck(at(2200)), Duration.ofMillis(300));
    }

    /** The bytes of a standstill are due only when they are read. */
    @Test
    public void paceOfBodyLeavesOutStandstill() {
        progress.headReceived(head(100), false, at(0));
        run(0, 1200);
        progress.dataReceived(60, at(1200));
        run(2200, 2300);
        // 60 of 100 bytes in 1300 ms of running time: the rest needs 867 ms, 700 ms are left.
        assertEquals(progress.stallReason(at(2300)), Optional.empty());
        run(2300, 2500);
        assertEquals(progress.stallReason(at(2500)), ENDLESS);
        progress.dataReceived(20, at(2500));
        assertTrue(progress.stallReason(at(2500)).isEmpty());
    }

    private void run(long fromMillis, long toMillis) {
        long step = RunningTime.TICK_INTERVAL.toMillis();
        for (long t = fromMillis; t <= toMillis; t += step) {
            runningTime.tick(at(t));
        }
    }

    private static HttpResponse head(int length) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        return head;
    }

    private static RouteRule route() {
        return new RouteRule(
                "read",
                "shop.example",
                "/read/",
                RequestKind.SAFE,
                Duration.ofMillis(DEADLINE_MILLIS),
                Duration.ofMillis(STALL_MILLIS / 2),
                2,
                List.of(new TrafficShare(new ServiceId("desk"), 1)),
                2,
                false,
                false);
    }

    private static Instant at(long millis) {
        return Instant.EPOCH.plusMillis(millis);
    }
}
