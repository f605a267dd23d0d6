package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against entries that start at the same moment, read a large desired state over the same
 * link, give the reads up and begin anew.
 */
public final class StartWithLargeStateTest {
    private static final int ENTRIES = 24;

    private static final int ROUTES = 2000;

    /** One read of the state takes about half a second, reads of all entries about twelve. */
    private static final long LINK_BYTES_PER_SECOND = 1_200_000;

    /** Twice the time that the link needs for a read of each entry. */
    private static final long REACHED_MILLIS = 25_000;

    private final List<ManagedNode> entries = new ArrayList<>();

    private final RunningNodes nodes = new RunningNodes();

    private FakeStore store;

    private NarrowLink link;

    private int version;

    /**
     * Starts the store, the link and the entries, all at once.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        store = new FakeStore();
        link = new NarrowLink(store.address(), LINK_BYTES_PER_SECOND);
        change(ROUTES);
        int control = FreePort.find();
        for (int i = 0; i < ENTRIES; i++) {
            ManagedNode entry = nodes.add(node(i, i == 0 ? control : FreePort.find(), control));
            entry.runAsEntry(SharedEvidence.none(), new NoWeights());
            entries.add(entry);
        }
    }

    /**
     * Stops the daemons, the link and the store.
     *
     * @throws IOException if the link cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        nodes.close();
        link.close();
        store.close();
    }

    /** All entries that start at the same moment learn the state. */
    @Test
    public void allStartedEntriesLearnTheState() {
        Await.within(REACHED_MILLIS, () -> entries.stream().allMatch(this::isCurrent));
    }

    private void change(int routes) {
        version++;
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",").append(route(i));
        }
        store.put("op", "config", text.append("],\"services\":[]}").toString());
    }

    private static String route(int number) {
        return """
        {"name":"route-%1$d","host":"shop-%1$d.example","prefix":"/part-%1$d/of-the-shop/",
         "kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":500,"priority":2,
         "service":"desk","maxAttempts":1}
        """
                .formatted(number);
    }

    private boolean isCurrent(ManagedNode entry) {
        return entry.state().snapshot().desired().map(DesiredState::version).orElse(0L) == version;
    }

    private ManagedNode node(int index, int control, int seed) throws IOException {
        String settings =
                """
                {"nodeName":"front-%d","ip":"127.0.0.1","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":["127.0.0.1:%d"],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"},
                 "bounds":{"contactMs":4000,"configApplyMs":3000}}
                """
                        .formatted(index, FreePort.find(), seed, control, link.address());
        return new ManagedNode(
                ManagedSettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }
}
