package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.RunningNodes;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.FreePort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests at an entry that knows no desired state, and so no limits. Whatever their size, they are
 * refused with 503, as they may be within the limits of the operator.
 */
public final class UnknownStateLimitsTest {
    private RunningNodes nodes;

    private FakeStore store;

    private int port;

    /**
     * Starts a store without a desired state, and an entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        nodes = new RunningNodes();
        store = new FakeStore();
        port = FreePort.find();
        String settings =
                """
                {"nodeName":"front-1","ip":"127.0.0.1","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},"internalPorts":[%d,0],"seeds":[],
                 "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
                 "provider":{"address":"%s"},"bounds":{"graceS":8,"budgetSlack":500},
                 "limits":{"linkMbps":1000}}
                """
                        .formatted(FreePort.find(), port, FreePort.find(), store.address());
        byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
        new ManagedEntryRole(nodes.add(new ManagedNode(ManagedSettingsCodec.decode(bytes))))
                .start();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        nodes.close();
        store.close();
    }

    /**
     * A short request is refused with 503.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void shortRequestIsRefused() throws IOException {
        assertEquals(status(10, 0), 503);
    }

    /**
     * A body longer than the default limit is refused with 503, not denied with 413.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void longBodyIsRefused() throws IOException {
        assertEquals(status(4_194_305, 0), 503);
    }

    /**
     * A head longer than the default limit is refused with 503, not denied with 431.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void longHeadIsRefused() throws IOException {
        assertEquals(status(10, 17_000), 503);
    }

    private int status(int bodyBytes, int headerBytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            String head =
                    "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: k\r\n"
                            + "X-Credential: key-1\r\nConnection: close\r\nX-Long: "
                            + "h".repeat(headerBytes)
                            + "\r\nContent-Length: "
                            + bodyBytes
                            + "\r\n\r\n";
            TestCaller.write(socket, bodyBytes > 1000 ? head : head + "b".repeat(bodyBytes));
            return TestCaller.read(socket).status();
        }
    }
}
