package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.support.AnswerServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reads host lists with a record that another writer left. */
public final class HttpHostListTest {
    private static final String RECORD =
            """
            {"host":"%s","domain":"luzon","region":"main","role":"AGENT","fleet":"helper",
             "address":"10.0.0.1:7000","state":"LIVE"}
            """;

    private final BlockingHttpClient http = new BlockingHttpClient(Duration.ofSeconds(5), 4);

    private AnswerServer server;

    /**
     * Starts the host list.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        server = new AnswerServer();
    }

    /**
     * Stops the host list.
     *
     * @throws IOException if it cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        server.close();
    }

    /**
     * Returns records that name no host to use.
     *
     * @return JSON text
     */
    @DataProvider
    public Object[][] oddRecords() {
        String record = RECORD.formatted("odd");
        return new Object[][] {
            {"null"},
            {"7"},
            {"[]"},
            {"{}"},
            {record.replace("odd", "od d")},
            {record.replace("\"odd\"", "null")},
            {record.replace("luzon", "luz*n")},
            {record.replace("AGENT", "OTHER")},
            {record.replace("LIVE", "GONE")},
            {record.replace(":7000", "")},
            {record.replace("7000", "0")},
            {record.replace("7000", "65536")},
            {record.replace("7000", "-1")},
            {record.replace("10.0.0.1", "10.0.0.999")},
            {record.replace("10.0.0.1", "host.example")},
            {record.replace("\"10.0.0.1:7000\"", "null")},
            {record.replace("\"10.0.0.1:7000\"", "[[1]]")},
            {record.replace("\"state\"", "\"other\"")}
        };
    }

    /**
     * The records beside an odd record are read.
     *
     * @param odd JSON text of the odd record
     */
    @Test(dataProvider = "oddRecords")
    public void oddRecordHidesNoHost(String odd) {
        String list = "[" + RECORD.formatted("a") + "," + odd + "," + RECORD.formatted("b") + "]";
        List<String> hosts = read(list).get().stream().map(r -> r.host().value()).toList();
        assertEquals(hosts, List.of("a", "b"));
    }

    /**
     * Returns bodies that are no host lists.
     *
     * @return text
     */
    @DataProvider
    public Object[][] oddLists() {
        String unknown = "[{\"host\":\"a\",\"x\":%s}]";
        return new Object[][] {
            {""},
            {"null"},
            {"{}"},
            {"7"},
            {"["},
            {"[".repeat(100_000)},
            {unknown.formatted("[".repeat(2_000) + "]".repeat(2_000))},
            {unknown.formatted("9".repeat(100_000))}
        };
    }

    /**
     * A body that is no list is a fault, and the next list is read.
     *
     * @param odd text
     */
    @Test(dataProvider = "oddLists")
    public void oddListIsAFault(String odd) {
        Either<Fault, List<HostRecord>> result = read(odd);
        assertTrue(result.isLeft());
        assertEquals(result.getLeft().kind(), FaultKind.CORRUPT);
        assertEquals(read("[" + RECORD.formatted("a") + "]").get().size(), 1);
    }

    private Either<Fault, List<HostRecord>> read(String body) {
        String head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n";
        byte[] bytes = (head.formatted(body.length()) + body).getBytes(StandardCharsets.US_ASCII);
        server.answer(bytes, false);
        return new HttpHostList(http, server.address()).read();
    }
}
