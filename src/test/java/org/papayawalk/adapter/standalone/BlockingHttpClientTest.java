package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link BlockingHttpClient}. */
public final class BlockingHttpClientTest {

    /** Names a server by its number, so that no name service is asked. */
    @Test
    public void namesServerByNumber() {
        assertEquals(BlockingHttpClient.toHttpHost("127.9.8.7:80").getHostName(), "127.9.8.7");
    }
}
