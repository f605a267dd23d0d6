package org.papayawalk.daemon.standalone.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.Outcome;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.idempotency.StoredAnswer;
import org.papayawalk.core.port.ObjectStore;

/**
 * Replays stored responses of non-idempotent calls, whose bodies may lie in the object store.
 * Thread-safe.
 */
final class ResponseReplayer {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final ObjectStore objects;

    /**
     * Creates a replayer.
     *
     * @param objects object store that holds large bodies
     */
    ResponseReplayer(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Builds a response to a caller from a stored one.
     *
     * @param stored stored response
     * @return complete response, or an error if its body cannot be read from the object store
     */
    CallerResponse replay(StoredAnswer stored) {
        byte[] body = stored.body();
        if (stored.object() != null) {
            Either<Fault, byte[]> read =
                    objects.get(stored.object())
                            .filterOrElse(b -> isWhole(stored, b), b -> notWhole(stored, b));
            if (read.isLeft()) {
                String reason = "call ran, but its stored response cannot be read: ";
                return new CallerResponse.Failed(
                        new ErrorResponse(
                                ErrorResponse.SERVICE_UNAVAILABLE,
                                Outcome.ANSWERED,
                                reason + read.getLeft(),
                                RETRY_AFTER,
                                true));
            }
            body = read.get();
        }
        List<HttpHeader> headers =
                List.of(
                        new HttpHeader("Content-Type", stored.contentType()),
                        new HttpHeader(CallerHeaders.REPLAYED, "true"));
        return new CallerResponse.Complete(stored.status(), headers, body);
    }

    // Rows of earlier versions have no digest.
    private static boolean isWhole(StoredAnswer stored, byte[] body) {
        return stored.objectDigest() == null || stored.objectDigest().equals(Digest.of(body));
    }

    private static Fault notWhole(StoredAnswer stored, byte[] body) {
        String reason =
                stored.object() + " differs from what was stored, " + body.length + " bytes";
        return new Fault(FaultKind.CORRUPT, "read-answer", "object store", reason);
    }
}
