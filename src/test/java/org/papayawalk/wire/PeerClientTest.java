package org.papayawalk.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.StatusQuery;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Calls peers whose addresses somebody else wrote. */
public final class PeerClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /**
     * Returns addresses to which no connection can be opened.
     *
     * @return address
     */
    @DataProvider
    public Object[][] malformedAddresses() {
        return new Object[][] {{""}, {"127.0.0.1"}, {"127.0.0.1:99999"}, {"127.0.0.1:x"}};
    }

    /**
     * A malformed address fails the call, and throws nothing.
     *
     * @param address address of the peer
     * @throws Exception if the call does not end
     */
    @Test(dataProvider = "malformedAddresses")
    public void malformedAddressFailsTheCall(String address) throws Exception {
        EventLoops loops = new EventLoops(1);
        try (PeerClient client = new PeerClient(loops)) {
            Envelope.Builder query =
                    Envelope.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
            Either<Fault, Envelope> result =
                    client.request(address, TrafficClass.LIVE, query, TIMEOUT)
                            .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            assertTrue(result.isLeft());
            assertEquals(result.getLeft().kind(), FaultKind.UNREACHABLE);
        } finally {
            loops.close();
        }
    }
}
