package org.papayawalk.daemon.standalone.entry;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseData;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.ResponseHead;
import org.testng.annotations.Test;

/** Takes replies after the deadline of a request. */
public final class AttemptTest {
    private static final Instant DEADLINE = Instant.EPOCH;

    /** More replies than an attempt takes after its deadline. */
    private static final int ENDLESS_REPLIES = 10_000;

    private static final Envelope HEAD =
            Envelope.newBuilder().setResponseHead(ResponseHead.newBuilder().setStatus(200)).build();

    /**
     * A response that is ready is delivered also when late; replies without end are not.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    @Test
    public void endlessRepliesEndAfterDeadline() throws InterruptedException {
        Attempt attempt = newAttempt();
        attempt.onReply(HEAD);
        attempt.onReply(data(0));
        attempt.onReply(answered(1));
        assertTrue(attempt.next(DEADLINE).message().hasResponseHead());
        assertTrue(attempt.next(DEADLINE).message().hasResponseData());
        assertTrue(attempt.next(DEADLINE).message().hasResponseEnd());
        for (int i = 1; i < ENDLESS_REPLIES; i++) {
            attempt.onReply(data(i));
            if (attempt.next(DEADLINE).timedOut()) {
                return;
            }
        }
        throw new AssertionError("replies without end are taken after the deadline");
    }

    /**
     * An answer is whole only with its head and all of its data.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    @Test
    public void answerWithoutItsPartsIsLost() throws InterruptedException {
        assertTrue(isLost(List.of(answered(0))), "without a head");
        assertTrue(isLost(List.of(data(0), answered(1))), "without a head");
        assertTrue(isLost(List.of(HEAD, answered(1))), "without its data");
        assertTrue(isLost(List.of(HEAD, data(0), answered(2))), "without its last data");
        assertTrue(isLost(List.of(HEAD, data(1), answered(2))), "without its first data");
        assertFalse(isLost(List.of(HEAD, answered(0))));
        assertFalse(isLost(List.of(HEAD, data(0), answered(1))));
    }

    private static boolean isLost(List<Envelope> replies) throws InterruptedException {
        Attempt attempt = newAttempt();
        replies.forEach(attempt::onReply);
        for (int i = 0; i < replies.size(); i++) {
            if (attempt.next(DEADLINE).fault() != null) {
                return true;
            }
        }
        return false;
    }

    private static Attempt newAttempt() {
        RouteCandidate candidate =
                new RouteCandidate(
                        new HostId("helper-1"),
                        new DomainId("luzon"),
                        "127.0.0.1:1",
                        Digest.NONE,
                        0,
                        1);
        return new Attempt(candidate, (c, now) -> true, () -> DEADLINE.plusMillis(1));
    }

    private static Envelope answered(long dataCount) {
        return Envelope.newBuilder()
                .setResponseEnd(
                        ResponseEnd.newBuilder()
                                .setOutcome(ResponseEnd.Outcome.ANSWERED)
                                .setDataCount(dataCount))
                .build();
    }

    private static Envelope data(long sequence) {
        return Envelope.newBuilder()
                .setResponseData(ResponseData.newBuilder().setSequence(sequence))
                .build();
    }
}
