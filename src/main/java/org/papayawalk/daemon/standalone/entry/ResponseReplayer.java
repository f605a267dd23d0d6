package org.papayawalk.daemon.standalone.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.Fault;
import org.papayawalk.core.Outcome;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.idempotency.StoredAnswer;
import org.papayawalk.core.port.ObjectStore;

/** Makes answers to callers of the answers kept for replay. Thread-safe. */
final class ResponseReplayer {
    /** Pause after which a caller comes back. */
    private static final Duration PAUSE = Duration.ofSeconds(2);

    /** Object store with large bodies. */
    private final ObjectStore objects;

    /**
     * Creates the replay.
     *
     * @param objects object store with large bodies
     */
    ResponseReplayer(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Makes the answer of a kept one.
     *
     * @param kept kept answer
     * @return answer to the caller
     */
    CallerResponse replay(StoredAnswer kept) {
        byte[] body = kept.body();
        if (kept.object() != null) {
            Either<Fault, byte[]> stored = objects.get(kept.object());
            if (stored.isLeft()) {
                String reason = "the call ran; its kept answer cannot be read now: ";
                return new CallerResponse.Failed(
                        new ErrorResponse(
                                ErrorResponse.UNAVAILABLE,
                                Outcome.ANSWERED,
                                reason + stored.getLeft(),
                                PAUSE,
                                true));
            }
            body = stored.get();
        }
        List<HttpHeader> headers =
                List.of(
                        new HttpHeader("Content-Type", kept.contentType()),
                        new HttpHeader(CallerHeaders.REPLAYED, "true"));
        return new CallerResponse.Complete(kept.status(), headers, body);
    }
}
