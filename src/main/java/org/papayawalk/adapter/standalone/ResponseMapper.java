package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.io.IOException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/** Turns answers of the platform into values and faults. Holds no state; safe from any thread. */
final class ResponseMapper {
    /** Status of a failed condition. */
    private static final int STATUS_CONFLICT = 409;

    /** First status that stands for a failure of the server. */
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Longest text of an answer that goes into a fault. */
    private static final int MAX_MESSAGE_CHARS = 200;

    /** Prevents instances. */
    private ResponseMapper() {}

    /**
     * Makes the fault of an answer without success. A server's own failure may have come after the
     * effect.
     *
     * @param call request
     * @param reply its answer
     * @return the fault
     */
    static Fault toFault(ClientRequest call, ClientResponse reply) {
        FaultKind kind = FaultKind.REFUSED;
        if (reply.status() == STATUS_CONFLICT) {
            kind = FaultKind.CONFLICT;
        } else if (reply.status() >= MIN_SERVER_ERROR_STATUS) {
            kind = FaultKind.UNKNOWN_OUTCOME;
        }
        String text = reply.text();
        String shown =
                text.length() > MAX_MESSAGE_CHARS ? text.substring(0, MAX_MESSAGE_CHARS) : text;
        return new Fault(kind, call.step(), call.address(), "HTTP " + reply.status() + " " + shown);
    }

    /**
     * Demands success.
     *
     * @param call request
     * @param reply its answer
     * @return the answer, or a fault
     */
    static Either<Fault, ClientResponse> requireSuccess(ClientRequest call, ClientResponse reply) {
        return reply.isSuccess() ? Either.right(reply) : Either.left(toFault(call, reply));
    }

    /**
     * Reads a JSON body.
     *
     * @param call request
     * @param reply its answer
     * @param type type of the value
     * @param <T> type of the value
     * @return the value, or a fault
     */
    static <T> Either<Fault, T> readJson(
            ClientRequest call, ClientResponse reply, TypeReference<T> type) {
        return requireSuccess(call, reply)
                .flatMap(
                        r -> {
                            try {
                                return Either.right(Json.read(r.body(), type));
                            } catch (IOException e) {
                                return Either.left(
                                        Fault.of(
                                                FaultKind.CORRUPT, call.step(), call.address(), e));
                            }
                        });
    }
}
