package org.papayawalk.daemon.managed;

/**
 * What a stuttering server answers to one request and when it sends the answer once more.
 * Immutable.
 *
 * @param answer answer
 * @param headers headers of the answer that vary
 * @param arrival when the second copy is sent
 * @param cut number of bytes of the second copy that are sent; all if it is not longer
 * @param eventBytes length that each event of a stream is padded to, in bytes
 */
public record Stutter(Answer answer, Headers headers, Arrival arrival, int cut, int eventBytes) {
    /** Answer to a request. */
    public enum Answer {
        /** Success, an event stream in chunks. */
        STREAM,
        /** Success, an event stream that the end of the connection ends; copies come before it. */
        UNFRAMED_STREAM,
        /** Success with a length. */
        LENGTH,
        /** Status 500. */
        ERROR,
        /** Status 503 that does not state that the request did not run. */
        BARE_REFUSAL,
        /** Status 503 that states that the request did not run. */
        REFUSAL
    }

    /** Headers that vary. */
    public enum Headers {
        /** The id of the request is the first header. */
        ID_FIRST,
        /** The id of the request is the last header. */
        ID_LAST,
        /** A failure has no id of a request. */
        NO_ID
    }

    /** When a second copy is sent. */
    public enum Arrival {
        /** Never. */
        NEVER,
        /** In one write with the end of the first copy. */
        WITH_ANSWER,
        /** In the next write after the first copy. */
        AT_ONCE,
        /** A little later, if no request came until then; else before the next answer. */
        IDLE,
        /** After the next request on the connection was read, before its answer. */
        BEFORE_NEXT,
        /** In one write with the next answer. */
        WITH_NEXT,
        /** Half of it before the next answer, the rest behind it. */
        AROUND_NEXT,
        /** Between two events of the next answer. */
        DURING_NEXT
    }

    /**
     * Returns whether the server did not run the request.
     *
     * @return true if its answer states so
     */
    public boolean refuses() {
        return answer == Answer.REFUSAL;
    }
}
