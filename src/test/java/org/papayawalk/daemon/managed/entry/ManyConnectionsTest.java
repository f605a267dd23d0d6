package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import org.papayawalk.daemon.managed.entry.CrowdSite.Machine;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Crowds that use all connections an entry allows, in a process of its own. The heap that is left
 * for each connection is as in the deployment, where an entry has 96 MB of which it needs 12
 * itself: 28 KB with 4,200 descriptors, 14 KB with 8,192. Memory shrinks likewise.
 */
public final class ManyConnectionsTest {
    /** Machine that allows 571 connections of callers. */
    private static final Machine MACHINE = new Machine(962, 160);

    private static final int CALLERS = 600;

    /** Machine that allows 1,142 connections of callers. */
    private static final Machine LARGE_MACHINE = new Machine(1_723, 196);

    private static final int LARGE_CROWD = 1_200;

    private static final int UNREADING_CALLERS = 8;

    private CrowdSite site;

    /**
     * Starts the fakes.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        site = new CrowdSite();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if one cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        site.close();
    }

    /**
     * Returns the shapes of which each connection may hold much.
     *
     * @return rows of a shape
     */
    @DataProvider
    public Object[][] shapes() {
        return new Object[][] {
            {CrowdShape.SHORT_LINES},
            {CrowdShape.PIPELINED_SHORT_LINES},
            {CrowdShape.WHOLE_BODIES},
            {CrowdShape.LARGE_CHUNKS},
            {CrowdShape.SMALL_CHUNKS},
            {CrowdShape.LONG_EXTENSIONS},
            {CrowdShape.STALLED_SHORT_BODIES},
            {UncountedShape.LONG_LINES},
            {UncountedShape.LINE_WITHOUT_END},
            {UncountedShape.PIECES_OF_LINE},
            {UncountedShape.PIPELINED_LONG_LINES},
            {UncountedShape.REST_OF_LARGE_READ},
            {UncountedShape.IDLE_AFTER_REFUSAL},
        };
    }

    /**
     * What is held for each connection adds up to less than the heap.
     *
     * @param shape what each caller sends
     * @throws IOException if the process cannot be started, or has ended
     */
    @Test(dataProvider = "shapes")
    public void bytesHeldForConnectionsFillNoHeap(CrowdScript shape) throws IOException {
        site.check(shape.toString(), MACHINE, port -> new Crowd(port, CALLERS, shape));
    }

    /**
     * Answers that nobody reads add up to less than the heap, also on few connections.
     *
     * @throws IOException if the process cannot be started, or has ended
     */
    @Test
    public void unreadRefusalsFillNoHeap() throws IOException {
        CrowdScript shape = UncountedShape.UNREAD_REFUSALS;
        site.check(shape.toString(), MACHINE, port -> new Crowd(port, UNREADING_CALLERS, shape));
    }

    /**
     * Returns the shapes of which each connection holds little.
     *
     * @return rows of a shape
     */
    @DataProvider
    public Object[][] smallShapes() {
        return new Object[][] {
            {CrowdShape.SILENCE},
            {UncountedShape.IDLE_AFTER_REFUSAL},
            {UncountedShape.IDLE_AFTER_LONG_LINE},
            {UncountedShape.LINE_WITHOUT_END},
            {UncountedShape.LONG_LINES},
            {CrowdShape.SMALL_CHUNKS},
        };
    }

    /**
     * As many connections as the largest machines of the deployment allow fit the heap.
     *
     * @param shape what each caller sends
     * @throws IOException if the process cannot be started, or has ended
     */
    @Test(dataProvider = "smallShapes")
    public void connectionsOfLargeMachineFillNoHeap(CrowdScript shape) throws IOException {
        site.check(shape.toString(), LARGE_MACHINE, port -> new Crowd(port, LARGE_CROWD, shape));
    }
}
