package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import java.io.IOException;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;

/** Converts responses into values and faults. Stateless; thread-safe. */
final class ResponseMapper {
    /** Status if the precondition of a write does not hold. */
    private static final int STATUS_CONFLICT = 409;

    /** Lowest status of server errors. */
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Maximum length of the response text quoted in a fault. */
    private static final int MAX_MESSAGE_CHARS = 200;

    private ResponseMapper() {}

    /**
     * Converts an unsuccessful response into a fault. The outcome of a server error is unknown,
     * since the server may have failed after the operation took effect.
     *
     * @param request request
     * @param response response without success status
     * @return fault of the kind that fits the status
     */
    static Fault toFault(ClientRequest request, ClientResponse response) {
        FaultKind kind = FaultKind.REFUSED;
        if (response.status() == STATUS_CONFLICT) {
            kind = FaultKind.CONFLICT;
        } else if (response.status() >= MIN_SERVER_ERROR_STATUS) {
            kind = FaultKind.UNKNOWN_OUTCOME;
        }
        String text = response.text();
        String excerpt =
                text.length() > MAX_MESSAGE_CHARS ? text.substring(0, MAX_MESSAGE_CHARS) : text;
        return new Fault(
                kind,
                request.step(),
                request.address(),
                "HTTP " + response.status() + " " + excerpt);
    }

    /**
     * Checks that a response has a success status.
     *
     * @param request request
     * @param response response with any status
     * @return the same response, or a fault
     */
    static Either<Fault, ClientResponse> requireSuccess(
            ClientRequest request, ClientResponse response) {
        return response.isSuccess()
                ? Either.right(response)
                : Either.left(toFault(request, response));
    }

    /**
     * Decodes the JSON body of a successful response.
     *
     * @param request request
     * @param response response with any status
     * @param type type of the value
     * @param <T> type of the value
     * @return value, or a fault if the status is not a success or the body cannot be decoded
     */
    static <T> Either<Fault, T> readJson(
            ClientRequest request, ClientResponse response, TypeReference<T> type) {
        return requireSuccess(request, response)
                .flatMap(
                        r -> {
                            try {
                                return Either.right(Json.read(r.body(), type));
                            } catch (IOException e) {
                                return Either.left(
                                        Fault.of(
                                                FaultKind.CORRUPT,
                                                request.step(),
                                                request.address(),
                                                e));
                            }
                        });
    }
}
