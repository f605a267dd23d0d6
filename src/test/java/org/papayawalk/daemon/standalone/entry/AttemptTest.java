package org.papayawalk.daemon.standalone.entry;

import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseData;
import org.papayawalk.wire.proto.ResponseEnd;
import org.testng.annotations.Test;

/** Takes replies after the deadline of a request. */
public final class AttemptTest {
    private static final Instant DEADLINE = Instant.EPOCH;

    /** More replies than an attempt takes after its deadline. */
    private static final int ENDLESS_REPLIES = 10_000;

    private final Attempt attempt =
            new Attempt(null, (candidate, now) -> true, () -> DEADLINE.plusMillis(1));

    /**
     * A response that is ready is delivered also when late; replies without end are not.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    @Test
    public void endlessRepliesEndAfterDeadline() throws InterruptedException {
        attempt.onReply(data(0));
        attempt.onReply(
                Envelope.newBuilder()
                        .setResponseEnd(
                                ResponseEnd.newBuilder()
                                        .setOutcome(ResponseEnd.Outcome.ANSWERED)
                                        .setDataCount(1))
                        .build());
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

    private static Envelope data(long sequence) {
        return Envelope.newBuilder()
                .setResponseData(ResponseData.newBuilder().setSequence(sequence))
                .build();
    }
}
