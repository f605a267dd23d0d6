package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link BlockingHttpClient}. */
public final class BlockingHttpClientTest {

    /** The host name is the IP address, so that no reverse name lookup is made. */
    @Test
    public void usesIpAddressAsHostName() {
        assertEquals(BlockingHttpClient.toHttpHost("127.9.8.7:80").getHostName(), "127.9.8.7");
    }
}
