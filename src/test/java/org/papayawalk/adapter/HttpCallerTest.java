package org.papayawalk.adapter;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link HttpCaller}. */
public final class HttpCallerTest {

    /** Names a server by its number, so that no name service is asked. */
    @Test
    public void namesServerByNumber() {
        assertEquals(HttpCaller.host("127.9.8.7:80").getHostName(), "127.9.8.7");
    }
}
