package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reads responses of the store with a row that another writer left. */
public final class StoreCodecTest {
    private static final long VERSION = 20;

    private static final String GOOD =
            "{\"part\":\"\",\"key\":\"%s\",\"value\":\"YQ==\",\"ver\":%d}";

    /**
     * Returns rows with an unusual field.
     *
     * @return JSON text of the row
     */
    @DataProvider
    public Object[][] oddRows() {
        return new Object[][] {
            {"{\"key\":\"odd\",\"value\":\"%%%\",\"ver\":11}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==YQ==\",\"ver\":11}"},
            {"{\"key\":\"odd\",\"value\":\"\\ud800\",\"ver\":11}"},
            {"{\"key\":\"odd\",\"value\":7,\"ver\":11}"},
            {"{\"key\":\"odd\",\"value\":null,\"ver\":11}"},
            {"{\"key\":\"odd\",\"value\":[[\"YQ==\"]],\"ver\":11}"},
            {"{\"key\":\"odd\",\"ver\":11}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\"}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":-1}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":1.5}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":1e400}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":\"11\"}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":9223372036854775807}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":" + "9".repeat(40) + "}"},
            {"{\"key\":\"odd\",\"value\":\"YQ==\",\"tombstone\":true,\"ver\":11}"},
            {"{\"key\":\"odd\",\"key\":\"odd\",\"value\":\"YQ==\",\"ver\":11}"},
            {"{\"key\":\"\",\"value\":\"YQ==\",\"ver\":11}"},
            {"{}"},
            {"null"},
            {"[]"},
            {"7"}
        };
    }

    /**
     * The rows beside an odd row are read, and later versions of all rows replace the earlier ones.
     *
     * @param odd JSON text of the odd row
     * @throws IOException if a response counts as malformed
     */
    @Test(dataProvider = "oddRows")
    public void oddRowHidesNoOther(String odd) throws IOException {
        TableReplica replica = new TableReplica();
        replica.apply(
                decode(VERSION, true, GOOD.formatted("a", 10), odd, GOOD.formatted("b", 12)), 0);
        assertEquals(versions(replica, "a"), List.of(10L));
        assertEquals(versions(replica, "b"), List.of(12L));
        long next = VERSION + 1;
        String[] rows = {GOOD.formatted("a", next), GOOD.formatted("odd", next)};
        replica.apply(decode(next, false, rows), VERSION);
        assertEquals(versions(replica, "a"), List.of(next));
        assertEquals(versions(replica, "b"), List.of(12L));
        assertEquals(versions(replica, "odd"), List.of(next));
    }

    /**
     * Returns versions of a table that no store states.
     *
     * @return JSON text
     */
    @DataProvider
    public Object[][] oddTableVersions() {
        return new Object[][] {{"-1"}, {"1.5"}, {"1e400"}, {"null"}, {"9".repeat(30)}, {"\"1\""}};
    }

    /**
     * A response without a usable version is malformed, so that the read is repeated.
     *
     * @param version JSON text of the version
     */
    @Test(dataProvider = "oddTableVersions")
    public void responseWithoutVersionIsMalformed(String version) {
        byte[] body =
                "{\"ver\":%s,\"rows\":[]}".formatted(version).getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> StoreCodec.decode(body, StoreEra.INITIAL, true));
    }

    private static List<Long> versions(TableReplica replica, String key) {
        return replica.liveRows().stream()
                .filter(r -> r.key().equals(key))
                .map(TableRecord::version)
                .toList();
    }

    private static TableUpdate decode(long version, boolean snapshot, String... rows)
            throws IOException {
        String body = "{\"ver\":%d,\"rows\":[%s]}".formatted(version, String.join(",", rows));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return StoreCodec.decode(bytes, StoreEra.INITIAL, snapshot);
    }
}
