package org.papayawalk.http;

import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Opens connections to addresses that somebody else wrote. */
public final class ConnectorTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Ends the event loop. */
    @AfterClass
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns addresses to which no connection can be opened.
     *
     * @return address
     */
    @DataProvider
    public Object[][] malformedAddresses() {
        return new Object[][] {
            {""},
            {"127.0.0.1"},
            {"127.0.0.1:"},
            {"127.0.0.1:-1"},
            {"127.0.0.1:65536"},
            {"127.0.0.1:99999"},
            {"127.0.0.1:1x"},
            {"127.0.0.1:99999999999999999999"}
        };
    }

    /**
     * A malformed address fails the attempt on the event loop, and throws nothing.
     *
     * @param address address of the server
     * @throws Exception if the attempt does not end
     */
    @Test(dataProvider = "malformedAddresses")
    public void malformedAddressFailsTheAttempt(String address) throws Exception {
        CompletableFuture<Throwable> failure = new CompletableFuture<>();
        CompletableFuture<Boolean> onLoop = new CompletableFuture<>();
        Connector.connect(
                group,
                address,
                TIMEOUT_MILLIS,
                channel -> failure.complete(null),
                cause -> {
                    onLoop.complete(group.iterator().next().inEventLoop());
                    failure.complete(cause);
                });
        Throwable cause = failure.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertTrue(cause instanceof IllegalArgumentException, String.valueOf(cause));
        assertTrue(onLoop.join());
    }
}
