package org.papayawalk.daemon.standalone.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.idempotency.StoredAnswer;
import org.papayawalk.core.port.ObjectStore;
import org.testng.annotations.Test;

/** Replays responses whose bodies lie in the object store. */
public final class ResponseReplayerTest {
    private static final byte[] BODY = "a large answer".getBytes(StandardCharsets.UTF_8);

    private byte[] object = BODY;

    private final ResponseReplayer replayer =
            new ResponseReplayer(
                    new ObjectStore() {
                        @Override
                        public Either<Fault, Integer> put(String name, byte[] data) {
                            throw new UnsupportedOperationException(name);
                        }

                        @Override
                        public Either<Fault, byte[]> get(String name) {
                            return Either.right(object);
                        }
                    });

    /** A whole body is replayed, also from a row without a digest. */
    @Test
    public void replaysWholeBody() {
        for (Digest digest : Arrays.asList(Digest.of(BODY), null)) {
            object = BODY;
            CallerResponse response = replayer.replay(stored(digest));
            assertEquals(((CallerResponse.Complete) response).body(), BODY);
        }
    }

    /** A part of a body is never replayed as the answer. */
    @Test
    public void partOfBodyIsNotReplayed() {
        for (int at = 0; at < BODY.length; at++) {
            object = Arrays.copyOf(BODY, at);
            CallerResponse response = replayer.replay(stored(Digest.of(BODY)));
            assertTrue(response instanceof CallerResponse.Failed, "cut at " + at);
        }
    }

    private static StoredAnswer stored(Digest digest) {
        return new StoredAnswer(200, "text/plain", null, "answer-1", digest);
    }
}
