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

/** Stand-in for a model server and, on the same address, for the origin. Thread-safe. */
final class FakeEngine implements AutoCloseable {
    /** Chunks of each version. */
    static final int CHUNKS = 6;

    /** Length of a chunk. */
    private static final int CHUNK_BYTES = 512;

    /** Reads JSON. */
    private final ObjectMapper mapper = new ObjectMapper();

    /** Threads of the server. */
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /** Server. */
    private final HttpServer server;

    /** Staged chunks. */
    private final Map<Integer, byte[]> staged = new HashMap<>();

    /** Versions that were loaded. */
    private final List<Integer> loaded = new ArrayList<>();

    /** Loads that took a chunk which was missing or wrong. */
    private int corruptLoads;

    /** Chunks that the origin sends wrong before it sends them right. */
    private int corruptOriginChunks;

    /** Chunks that turn bad right after they were staged. */
    private int corruptStagedChunks;

    /** Chunks that the origin has sent. */
    private int sent;

    /** Chunks that were staged. */
    private int stagedWrites;

    /** Orders that wait at the gate. */
    private int heldOrders;

    /** Open while orders are taken as they come. */
    private volatile CountDownLatch orderGate = new CountDownLatch(0);

    /**
     * Starts the engine.
     *
     * @throws IOException if no port can be had
     */
    FakeEngine() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", this::answer);
        server.setExecutor(threads);
        server.start();
    }

    /**
     * Returns the address.
     *
     * @return IP number and port
     */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /**
     * Spoils what the origin sends and what is staged.
     *
     * @param wrong chunks that the origin sends wrong
     * @param rotten chunks that turn bad after they were staged
     */
    synchronized void corrupt(int wrong, int rotten) {
        corruptOriginChunks = wrong;
        corruptStagedChunks = rotten;
    }

    /** Loses the loaded version, as a restart does. */
    synchronized void restart() {
        loaded.add(0);
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
     * Returns the loads that took a chunk which was missing or wrong.
     *
     * @return number of loads
     */
    synchronized int corruptLoads() {
        return corruptLoads;
    }

    /** Lets orders wait from now on before they are taken. */
    void holdOrders() {
        orderGate = new CountDownLatch(1);
    }

    /** Takes the orders that wait, and those that come. */
    void releaseOrders() {
        orderGate.countDown();
    }

    /**
     * Returns the orders that came while orders were held.
     *
     * @return number of orders
     */
    synchronized int heldOrders() {
        return heldOrders;
    }

    /**
     * Returns the chunks that were staged.
     *
     * @return number of writes
     */
    synchronized int stagedWrites() {
        return stagedWrites;
    }

    /**
     * Returns the chunks that the origin has sent.
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

    /**
     * Answers a call.
     *
     * @param exchange call
     * @throws IOException if the connection is lost
     */
    private void answer(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String target = exchange.getRequestURI().toString();
        if (target.equals("/order")) {
            waitAtGate();
        }
        byte[] answer = handle(target, body);
        exchange.sendResponseHeaders(
                answer == null ? 404 : 200, answer == null ? -1 : answer.length);
        if (answer != null) {
            exchange.getResponseBody().write(answer);
        }
        exchange.close();
    }

    /**
     * Lets an order wait.
     *
     * @throws IOException if the wait is interrupted
     */
    private void waitAtGate() throws IOException {
        synchronized (this) {
            heldOrders += orderGate.getCount() > 0 ? 1 : 0;
        }
        try {
            orderGate.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /**
     * Handles a call.
     *
     * @param target path and query
     * @param body body
     * @return answer, null for 404
     * @throws IOException if the body is not JSON
     */
    private synchronized byte[] handle(String target, byte[] body) throws IOException {
        if (target.equals("/report")) {
            return report().getBytes();
        }
        if (target.equals("/order")) {
            order(mapper.readTree(body));
            return new byte[] {'{', '}'};
        }
        int index = number(target, "digestCount");
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

    /**
     * Writes the report.
     *
     * @return text
     */
    private String report() {
        String models = serving() == 0 ? "" : "{\"name\":\"m\",\"version\":" + serving() + "}";
        return "{\"models\":["
                + models
                + "],\"busy\":false,\"sequence\":"
                + loaded.size()
                + ",\"queued\":0,\"active\":0}";
    }

    /**
     * Takes an order to load.
     *
     * @param order order
     */
    private void order(JsonNode order) {
        int version = order.get("version").asInt();
        for (int i = 0; i < CHUNKS; i++) {
            byte[] data = staged.get(i);
            if (data == null || !Arrays.equals(data, chunk(version, i))) {
                corruptLoads++;
            }
        }
        loaded.add(version);
    }

    /**
     * Writes the digests of a version.
     *
     * @param version number
     * @return text
     */
    private static String manifest(int version) {
        List<String> digests = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            digests.add("\"" + Digest.of(chunk(version, i)) + "\"");
        }
        return "{\"model\":\"m\",\"version\":%d,\"chunkBytes\":%d,\"layers\":2,\"digests\":%s}"
                .formatted(version, CHUNK_BYTES, digests);
    }

    /**
     * Makes a chunk.
     *
     * @param version number of the version
     * @param index index of the chunk
     * @return bytes
     */
    private static byte[] chunk(int version, int index) {
        byte[] data = new byte[CHUNK_BYTES];
        new SplittableRandom(version * 1000L + index).nextBytes(data);
        return data;
    }

    /**
     * Reads a number of a query.
     *
     * @param target path and query
     * @param name name of the parameter
     * @return number, 0 if there is none
     */
    private static int number(String target, String name) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Integer.parseInt(pair.substring(name.length() + 1));
            }
        }
        return 0;
    }
}
