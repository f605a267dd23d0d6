package org.papayawalk.daemon.managed.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.id.Digest;

/** Fake model engine that also serves as the origin, on the same address. Thread-safe. */
final class FakeEngine implements AutoCloseable {
    /** Number of chunks of each version. */
    static final int CHUNKS = 6;

    private static final int CHUNK_BYTES = 512;

    private final ObjectMapper mapper = new ObjectMapper();

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final HttpServer server;

    // Chunks by index.
    private final Map<Integer, byte[]> staged = new HashMap<>();

    // Versions in order of their loads; 0 stands for a restart without weights.
    private final List<Integer> loaded = new ArrayList<>();

    // Chunks that were missing or wrong in a load.
    private int corruptLoads;

    // Chunks that the origin is still to send corrupt.
    private int corruptOriginChunks;

    // Chunks that are still to become corrupt when staged.
    private int corruptStagedChunks;

    // Chunks sent by the origin.
    private int sent;

    private int stagedWrites;

    private int unanswered;

    // Whether the engine answers; the origin always does.
    private boolean available = true;

    // Orders that arrived while orders were held.
    private int heldOrders;

    private final CallGate writes = new CallGate();

    // Orders that are still to be held on their own.
    private int ordersToHold;

    // Start of the process as reported; each restart increases it.
    private long born = 1;

    // Reads of a staged chunk that arrived while they were held.
    private int heldReads;

    // Index of the chunk whose reads are held once a whole version is staged.
    private int heldIndex;

    // Holds reads of the chunk while its count is 1.
    private volatile CountDownLatch readGate = new CountDownLatch(0);

    // Holds orders while its count is 1.
    private volatile CountDownLatch orderGate = new CountDownLatch(0);

    /**
     * Starts the engine on a free port.
     *
     * @throws IOException if no port is free
     */
    FakeEngine() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", this::answer);
        server.setExecutor(threads);
        server.start();
    }

    /**
     * Returns the address of the engine and origin.
     *
     * @return IP number and port
     */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /**
     * Makes the next chunks corrupt.
     *
     * @param fromOrigin chunks that the origin sends corrupt
     * @param whenStaged chunks that become corrupt when they are staged
     */
    synchronized void corrupt(int fromOrigin, int whenStaged) {
        corruptOriginChunks = fromOrigin;
        corruptStagedChunks = whenStaged;
    }

    /**
     * Stages a whole version, as an earlier process of the agent did.
     *
     * @param version number of the version
     */
    synchronized void stage(int version) {
        for (int i = 0; i < CHUNKS; i++) {
            staged.put(i, chunk(version, i));
        }
    }

    /**
     * Starts or stops answering as an engine.
     *
     * @param answers whether reports and staged chunks can be read from now on
     */
    synchronized void setAvailable(boolean answers) {
        available = answers;
    }

    /**
     * Returns how many calls the engine did not answer.
     *
     * @return number of calls
     */
    synchronized int unanswered() {
        return unanswered;
    }

    /** Loses the loaded version, as a restart of the engine does. */
    synchronized void restart() {
        born++;
        loaded.add(0);
    }

    /** Loses all that is loaded, staged and counted, as a loss of power does. */
    synchronized void restartWithoutStagedChunks() {
        born++;
        loaded.clear();
        staged.clear();
    }

    /**
     * Makes a staged chunk corrupt.
     *
     * @param index index of the chunk
     */
    synchronized void corruptStaged(int index) {
        staged.put(index, new byte[CHUNK_BYTES]);
    }

    /**
     * Holds reads of a staged chunk from now on, while chunks of all indexes are staged.
     *
     * @param index index of the chunk
     */
    synchronized void holdReads(int index) {
        readGate = new CountDownLatch(1);
        heldIndex = index;
    }

    /** Answers the held reads, with what is staged then, and those that follow. */
    void releaseReads() {
        readGate.countDown();
    }

    /**
     * Returns how many reads arrived while they were held.
     *
     * @return number of reads
     */
    synchronized int heldReads() {
        return heldReads;
    }

    /**
     * Returns the version that is served.
     *
     * @return number, 0 for none
     */
    synchronized int serving() {
        return loaded.isEmpty() ? 0 : loaded.get(loaded.size() - 1);
    }

    /**
     * Returns how many chunks were missing or wrong in loads.
     *
     * @return number of chunks, over all loads
     */
    synchronized int corruptLoads() {
        return corruptLoads;
    }

    /**
     * Returns the gate of the calls that stage a chunk.
     *
     * @return gate that lets all calls pass at first
     */
    CallGate writes() {
        return writes;
    }

    /** Holds orders from now on. */
    synchronized void holdOrders() {
        orderGate = new CountDownLatch(1);
        ordersToHold = Integer.MAX_VALUE;
    }

    /** Holds the next order only; the orders after it are handled at once. */
    synchronized void holdNextOrder() {
        orderGate = new CountDownLatch(1);
        ordersToHold = 1;
    }

    /** Accepts the held orders and those that follow. */
    void releaseOrders() {
        orderGate.countDown();
    }

    /**
     * Returns how many orders arrived while orders were held.
     *
     * @return number of orders
     */
    synchronized int heldOrders() {
        return heldOrders;
    }

    /**
     * Returns how many chunks were staged.
     *
     * @return number of writes
     */
    synchronized int stagedWrites() {
        return stagedWrites;
    }

    /**
     * Returns how many chunks the origin has sent.
     *
     * @return number of chunks
     */
    synchronized int chunksSent() {
        return sent;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void answer(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String target = exchange.getRequestURI().toString();
        if (target.equals("/order")) {
            awaitOrderGate();
        }
        if (target.startsWith("/stage-get/")) {
            awaitReadGate(number(target, "digestCount"));
        }
        if (target.startsWith("/stage-put/")) {
            writes.pass();
        }
        byte[] answer = handle(target, body);
        int failure = target.equals("/order") ? 409 : 404;
        exchange.sendResponseHeaders(
                answer == null ? failure : 200, answer == null ? -1 : answer.length);
        if (answer != null) {
            exchange.getResponseBody().write(answer);
        }
        exchange.close();
    }

    private void awaitOrderGate() throws IOException {
        synchronized (this) {
            if (orderGate.getCount() == 0 || ordersToHold == 0) {
                return;
            }
            ordersToHold--;
            heldOrders++;
        }
        await(orderGate);
    }

    private void awaitReadGate(int index) throws IOException {
        synchronized (this) {
            if (readGate.getCount() == 0 || index != heldIndex || staged.size() < CHUNKS) {
                return;
            }
            heldReads++;
        }
        await(readGate);
    }

    private static void await(CountDownLatch gate) throws IOException {
        try {
            gate.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    // Returns null for status 409 of an order and for status 404 of other calls.
    private synchronized byte[] handle(String target, byte[] body) throws IOException {
        if (target.equals("/report") && available) {
            return report().getBytes();
        }
        if (target.equals("/order")) {
            boolean accepted = order(mapper.readTree(body));
            return accepted ? new byte[] {'{', '}'} : null;
        }
        int index = number(target, "digestCount");
        boolean fromOrigin = target.startsWith("/manifest/") || target.startsWith("/piece/");
        if (!available && !fromOrigin) {
            unanswered++;
            return null;
        }
        int version = number(target, "version");
        if (target.startsWith("/manifest/")) {
            return manifest(version).getBytes();
        }
        if (target.startsWith("/piece/")) {
            sent++;
            return corruptOriginChunks-- > 0 ? new byte[CHUNK_BYTES] : chunk(version, index);
        }
        if (target.startsWith("/stage-put/")) {
            stagedWrites++;
            staged.put(index, corruptStagedChunks-- > 0 ? new byte[CHUNK_BYTES] : body);
            return new byte[0];
        }
        return staged.get(index);
    }

    private String report() {
        String models = serving() == 0 ? "" : "{\"name\":\"m\",\"version\":" + serving() + "}";
        return "{\"born\":"
                + born
                + ",\"models\":["
                + models
                + "],\"busy\":false,\"sequence\":"
                + loaded.size()
                + ",\"queued\":0,\"active\":0}";
    }

    // Returns whether the order is based on the present number of orders.
    private boolean order(JsonNode order) {
        if (order.get("expectedRev").asInt() != loaded.size()) {
            return false;
        }
        int version = order.get("version").asInt();
        for (int i = 0; i < CHUNKS; i++) {
            byte[] data = staged.get(i);
            if (data == null || !Arrays.equals(data, chunk(version, i))) {
                corruptLoads++;
            }
        }
        loaded.add(version);
        return true;
    }

    private static String manifest(int version) {
        List<String> digests = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            digests.add("\"" + Digest.of(chunk(version, i)) + "\"");
        }
        return "{\"model\":\"m\",\"version\":%d,\"chunkBytes\":%d,\"layers\":2,\"digests\":%s}"
                .formatted(version, CHUNK_BYTES, digests);
    }

    private static byte[] chunk(int version, int index) {
        byte[] data = new byte[CHUNK_BYTES];
        new SplittableRandom(version * 1000L + index).nextBytes(data);
        return data;
    }

    // Returns a numeric parameter of the query, 0 if it is absent.
    private static int number(String target, String name) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Integer.parseInt(pair.substring(name.length() + 1));
            }
        }
        return 0;
    }
}
