package org.papayawalk.daemon.managed.agent;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.platform.EngineCodec;

/** Interprets the answers of an engine. Stateless; thread-safe. */
final class EngineAnswers {
    private static final int STATUS_CONFLICT = 409;

    private static final int STATUS_NOT_FOUND = 404;

    // Failures that do not tell whether the engine accepted an order or executes a write.
    private static final Set<Integer> STATUSES_WITHOUT_OUTCOME = Set.of(500, 502, 504);

    private EngineAnswers() {}

    /**
     * Interprets the answer to a read of the report.
     *
     * @param call call
     * @param answer its answer, or fault
     * @return report, or fault
     */
    static Either<Fault, EngineReport> report(
            AsyncHttpRequest call, Either<Fault, AsyncHttpResponse> answer) {
        return answer.flatMap(a -> requireSuccess(call, a)).flatMap(a -> decodeReport(call, a));
    }

    /**
     * Interprets the answer to a read of a staged chunk.
     *
     * @param call call
     * @param answer its answer, or fault
     * @return unverified bytes, empty if the engine says that none are staged; or fault
     */
    static Either<Fault, Optional<byte[]>> chunk(
            AsyncHttpRequest call, Either<Fault, AsyncHttpResponse> answer) {
        if (answer.isRight() && answer.get().status() == STATUS_NOT_FOUND) {
            return Either.right(Optional.empty());
        }
        return answer.flatMap(a -> requireSuccess(call, a)).map(a -> Optional.of(a.body()));
    }

    /**
     * Interprets the answer to a write of a chunk.
     *
     * @param call call
     * @param answer its answer, or fault
     * @return the answer if it tells that the write was done; a fault of kind {@code REFUSED} if it
     *     was refused, of another kind if the outcome is unknown
     */
    static Either<Fault, AsyncHttpResponse> write(
            AsyncHttpRequest call, Either<Fault, AsyncHttpResponse> answer) {
        return answer.flatMap(a -> requireOutcome(call, a)).flatMap(a -> requireSuccess(call, a));
    }

    /**
     * Interprets the answer to an order.
     *
     * @param call call
     * @param answer its answer, or fault
     * @return true if the engine accepted the order, false if its state had changed; a fault as of
     *     {@link #write}
     */
    static Either<Fault, Boolean> order(
            AsyncHttpRequest call, Either<Fault, AsyncHttpResponse> answer) {
        if (answer.isRight() && answer.get().status() == STATUS_CONFLICT) {
            return Either.right(false);
        }
        return write(call, answer).map(a -> true);
    }

    private static Either<Fault, EngineReport> decodeReport(
            AsyncHttpRequest call, AsyncHttpResponse answer) {
        try {
            return Either.right(EngineCodec.decodeReport(answer.body()));
        } catch (IOException e) {
            return Either.left(Fault.of(FaultKind.CORRUPT, "read-report", call.address(), e));
        }
    }

    private static Either<Fault, AsyncHttpResponse> requireOutcome(
            AsyncHttpRequest call, AsyncHttpResponse answer) {
        if (!STATUSES_WITHOUT_OUTCOME.contains(answer.status())) {
            return Either.right(answer);
        }
        return Either.left(statusFault(FaultKind.UNKNOWN_OUTCOME, call, answer));
    }

    private static Either<Fault, AsyncHttpResponse> requireSuccess(
            AsyncHttpRequest call, AsyncHttpResponse answer) {
        if (answer.isSuccess()) {
            return Either.right(answer);
        }
        return Either.left(statusFault(FaultKind.REFUSED, call, answer));
    }

    private static Fault statusFault(
            FaultKind kind, AsyncHttpRequest call, AsyncHttpResponse answer) {
        String step = call.method() + " " + call.target();
        return new Fault(kind, step, call.address(), "HTTP status " + answer.status());
    }
}
