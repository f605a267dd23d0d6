package org.papayawalk.daemon.managed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Fake of the platform's store: HTTP on loopback, rows in memory. It can be restored from an older
 * copy of itself, which begins a new era. Thread-safe.
 */
public final class FakeStore implements AutoCloseable {
    /** Bound on the wait of a long poll, so that tests end soon. */
    static final long MAX_WAIT_MILLIS = 300;

    // Field of an answer that is sent as a header.
    private static final String ERA = "era";

    // Longest time for which a call for changes is held.
    private long maxWaitMillis = MAX_WAIT_MILLIS;

    private final ObjectMapper mapper = new ObjectMapper();

    // Rows by table and key, with removed ones.
    private final Map<String, TreeMap<String, ObjectNode>> tables = new HashMap<>();

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final HttpServer server;

    // Version of the newest transaction.
    private long version = 100;

    // Oldest version after which all changes are available.
    private long historyFrom;

    // HTTP status of every answer, 0 if calls are served.
    private int refusalStatus;

    // Rows that full reads return while they are stale, else null.
    private Map<String, TreeMap<String, ObjectNode>> staleTables;

    // Version that stale full reads return.
    private long staleVersion;

    private int fullReads;

    private final PollCounts polls = new PollCounts();

    // Whether calls stay without an answer.
    private boolean silent;

    // Number of calls that were left without an answer.
    private int unansweredCalls;

    // Number of restores.
    private long era;

    // Rows and version of the last copy, null before the first.
    private Map<String, TreeMap<String, ObjectNode>> copiedTables;

    private long copiedVersion;

    // Writes of rows by table and key since the start.
    private final Map<String, Integer> writes = new HashMap<>();

    /**
     * Starts the store on a free port.
     *
     * @throws IOException if no port is free
     */
    public FakeStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/rows-get", x -> answer(x, this::read));
        server.createContext("/rows-feed", x -> answer(x, this::longPoll));
        server.createContext("/rows-tx", x -> answer(x, this::write));
        server.setExecutor(threads);
        server.start();
    }

    /**
     * Returns the address of the store.
     *
     * @return IP number and port
     */
    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /**
     * Writes a row.
     *
     * @param table name of the table
     * @param key key of the row
     * @param value text
     */
    public synchronized void put(String table, String key, String value) {
        row(table, key).put("value", Base64.getEncoder().encodeToString(value.getBytes()));
        notifyAll();
    }

    /**
     * Removes a row.
     *
     * @param table name of the table
     * @param key key of the row
     */
    public synchronized void remove(String table, String key) {
        row(table, key).put("tombstone", true);
        notifyAll();
    }

    /**
     * Writes a row and drops the history before any long poll can return the row.
     *
     * @param table name of the table
     * @param key key of the row
     * @param value text
     */
    public synchronized void putAndDropHistory(String table, String key, String value) {
        put(table, key, value);
        dropHistory();
    }

    /** Drops the history, so that watchers have to read their tables in full. */
    public synchronized void dropHistory() {
        historyFrom = version;
        notifyAll();
    }

    /**
     * Makes full reads return the present rows for as long as they are stale.
     *
     * @param stale whether full reads are stale from now on
     */
    public synchronized void setStaleReads(boolean stale) {
        staleTables = null;
        if (stale) {
            staleVersion = version;
            staleTables = copyOf(tables);
        }
    }

    /** Takes a copy of all rows, from which {@link #restore()} brings the store back. */
    public synchronized void copy() {
        copiedVersion = version;
        copiedTables = copyOf(tables);
    }

    /** Loses what was written since the last copy and begins a new era. */
    public synchronized void restore() {
        tables.clear();
        tables.putAll(copyOf(copiedTables));
        version = copiedVersion;
        era++;
        notifyAll();
    }

    /**
     * Returns how often daemons wrote a row.
     *
     * @param table name of the table
     * @param key key of the row
     * @return number of writes that were accepted
     */
    public synchronized int writes(String table, String key) {
        return writes.getOrDefault(table + "/" + key, 0);
    }

    /**
     * Tells whether a row exists.
     *
     * @param table name of the table
     * @param key key of the row
     * @return true unless the row was never written, was removed, or was lost by a restore
     */
    public synchronized boolean has(String table, String key) {
        ObjectNode row = tables.getOrDefault(table, new TreeMap<>()).get(key);
        return row != null && !row.has("tombstone");
    }

    /**
     * Returns how many full reads were served.
     *
     * @return number of reads, of all tables
     */
    public synchronized int fullReads() {
        return fullReads;
    }

    /**
     * Returns how many polls for changes arrived, and the rows that they returned.
     *
     * @return counts, kept up to date
     */
    public PollCounts polls() {
        return polls;
    }

    /**
     * Refuses every call from now on.
     *
     * @param status HTTP status of every answer, 0 to serve calls again
     */
    public synchronized void refuseAll(int status) {
        refusalStatus = status;
        notifyAll();
    }

    /**
     * Sets the longest time for which the store holds a call for changes.
     *
     * @param millis time in milliseconds
     */
    synchronized void setMaxWait(long millis) {
        maxWaitMillis = millis;
    }

    /**
     * Leaves calls without an answer for as long as the store is silent: those that arrive and
     * those that wait. They stay so also afterwards.
     *
     * @param nowSilent whether the store is silent from now on
     */
    public synchronized void setSilent(boolean nowSilent) {
        silent = nowSilent;
        notifyAll();
    }

    /**
     * Returns how many calls were left without an answer.
     *
     * @return number of calls
     */
    public synchronized int unansweredCalls() {
        return unansweredCalls;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private static Map<String, TreeMap<String, ObjectNode>> copyOf(
            Map<String, TreeMap<String, ObjectNode>> source) {
        Map<String, TreeMap<String, ObjectNode>> copy = new HashMap<>();
        source.forEach((name, rows) -> copy.put(name, new TreeMap<>(rows)));
        return copy;
    }

    private ObjectNode row(String table, String key) {
        version++;
        ObjectNode row = mapper.createObjectNode();
        row.put("table", table).put("part", "").put("key", key).put("ver", version);
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
        return row;
    }

    private synchronized ObjectNode read(Map<String, String> query, byte[] body) {
        fullReads++;
        ObjectNode answer = head();
        Map<String, TreeMap<String, ObjectNode>> source = tables;
        if (staleTables != null) {
            answer.put("ver", staleVersion);
            source = staleTables;
        }
        ArrayNode rows = answer.putArray("rows");
        for (ObjectNode r : source.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
            if (!r.has("tombstone")) {
                rows.add(r);
            }
        }
        return answer.put("hasMore", false);
    }

    private synchronized ObjectNode longPoll(Map<String, String> query, byte[] body)
            throws InterruptedException {
        polls.addPoll(query.get("table"));
        long after = Long.parseLong(query.get("after"));
        long wait = Math.min(maxWaitMillis, Long.parseLong(query.get("waitMs")));
        long until = System.nanoTime() + wait * 1_000_000;
        long begunIn = era;
        while (refusalStatus == 0
                && !silent
                && begunIn == era
                && after >= historyFrom
                && after <= version
                && changes(query, after).isEmpty()) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        if (after < historyFrom || after > version) {
            return null;
        }
        ObjectNode answer = head();
        ArrayNode changes = changes(query, after);
        polls.addRows(query.get("table"), changes.size());
        answer.set("rows", changes);
        return answer;
    }

    private synchronized ObjectNode write(Map<String, String> query, byte[] body)
            throws IOException {
        JsonNode root = mapper.readTree(body);
        for (JsonNode r : root.path("upserts")) {
            row(r.get("table").asText(), r.get("key").asText())
                    .put("value", r.get("value").asText());
            writes.merge(r.get("table").asText() + "/" + r.get("key").asText(), 1, Integer::sum);
        }
        for (JsonNode r : root.path("remove")) {
            row(r.get("table").asText(), r.get("key").asText()).put("tombstone", true);
        }
        return head();
    }

    private ArrayNode changes(Map<String, String> query, long after) {
        ArrayNode rows = mapper.createArrayNode();
        for (ObjectNode r : table(query).values()) {
            if (r.get("ver").asLong() > after) {
                rows.add(r);
            }
        }
        return rows;
    }

    private TreeMap<String, ObjectNode> table(Map<String, String> query) {
        return tables.getOrDefault(query.get("table"), new TreeMap<>());
    }

    private ObjectNode head() {
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        return mapper.createObjectNode().put("ver", version).put("nowMs", nowMillis).put(ERA, era);
    }

    private void answer(HttpExchange exchange, FakeStoreCall call) throws IOException {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? parts[1] : "");
        }
        byte[] body = exchange.getRequestBody().readAllBytes();
        int status = status();
        ObjectNode answer = null;
        try {
            answer = status == 0 ? call.handle(query, body) : null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (isUnanswered()) {
            return;
        }
        status = status();
        int code = status != 0 ? status : answer == null ? 410 : 200;
        // The era at which a call was handled, as a restore may follow before the answer is sent.
        long answeredIn = answer == null ? era() : answer.remove(ERA).asLong();
        byte[] bytes = code == 200 ? mapper.writeValueAsBytes(answer) : new byte[0];
        exchange.getResponseHeaders().set("Store-Era", Long.toString(answeredIn));
        exchange.sendResponseHeaders(code, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    // Tells whether a call stays without an answer, and counts it.
    private synchronized boolean isUnanswered() {
        if (silent) {
            unansweredCalls++;
        }
        return silent;
    }

    private synchronized long era() {
        return era;
    }

    private synchronized int status() {
        return refusalStatus;
    }
}
