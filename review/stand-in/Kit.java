import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of the platform's store, of servers and of clients, and the start of the project's own
 * programs with the commands of the deploy file. Only the JDK is used. Every address is a loopback
 * address; each machine has one of its own.
 */
final class Kit {
    static final long START = System.nanoTime();

    private Kit() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    /** Writes what was sent, answered and run to the record of the case. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%8.3f s  %s%n", now() / 1000.0, text);
            out.flush();
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** HTTP message as read from a connection. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            if (b == '\n') {
                break;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message with a length or in chunks; null if the peer closed before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message m = new Message();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        m.first = line;
        while (true) {
            line = readLine(in);
            if (line == null) {
                throw new IOException("channel ended in the headers");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            m.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new IOException("channel ended in a chunked body");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                body.write(exactly(in, length));
                readLine(in);
                if (length == 0) {
                    break;
                }
            }
            m.body = body.toByteArray();
        } else if (m.header("Content-Length") != null) {
            m.body = exactly(in, Integer.parseInt(m.header("Content-Length")));
        }
        return m;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] data = in.readNBytes(length);
        if (data.length < length) {
            throw new IOException("channel ended in the body");
        }
        return data;
    }

    static void daemon(String name, Runnable task) {
        Thread t = new Thread(task, name);
        t.setDaemon(true);
        t.start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers one request on a channel; the handler may close the socket. */
    interface Handler {
        void handle(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** HTTP server with a thread for each channel. */
    static ServerSocket serve(String ip, int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
        daemon(
                "accept " + ip,
                () -> {
                    while (!listener.isClosed()) {
                        try {
                            Socket s = listener.accept();
                            s.setTcpNoDelay(true);
                            daemon("channel", () -> channel(s, handler));
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return listener;
    }

    private static void channel(Socket s, Handler handler) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream(), 65536);
            while (true) {
                Message m = read(in);
                if (m == null) {
                    return;
                }
                handler.handle(m, s, s.getOutputStream());
                if (s.isClosed()) {
                    return;
                }
            }
        } catch (IOException e) {
            // The peer has closed or reset the channel.
        }
    }

    static void respond(OutputStream out, int status, String headers, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length
                        + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** The platform's store: rows with versions from one counter, feeds, transactions. */
    static final class Store {
        private static final class Row {
            byte[] value;
            long ver;
            boolean gone;
        }

        private final TreeMap<String, Row> rows = new TreeMap<>();
        private long ver = 1;
        private final ServerSocket listener;
        final String address;

        Store(String ip, int port) throws IOException {
            listener = serve(ip, port, this::handle);
            address = ip + ":" + listener.getLocalPort();
        }

        /** Writes a row, or drops it if the value is null. Returns the version. */
        synchronized long put(String table, String key, String value) {
            Row r = new Row();
            r.gone = value == null;
            r.value = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
            r.ver = ++ver;
            rows.put(table + "\u0001" + key, r);
            notifyAll();
            return r.ver;
        }

        private static Map<String, String> query(String target) {
            Map<String, String> q = new LinkedHashMap<>();
            int mark = target.indexOf('?');
            if (mark >= 0) {
                for (String p : target.substring(mark + 1).split("&")) {
                    int eq = p.indexOf('=');
                    String name = eq < 0 ? p : p.substring(0, eq);
                    String value = eq < 0 ? "" : p.substring(eq + 1);
                    q.put(name, URLDecoder.decode(value, StandardCharsets.UTF_8));
                }
            }
            return q;
        }

        private static String quote(String s) {
            return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
        }

        private synchronized String list(String table, long after, boolean feed, String from) {
            StringBuilder b = new StringBuilder("{\"rows\":[");
            boolean first = true;
            for (Map.Entry<String, Row> e : rows.entrySet()) {
                int cut = e.getKey().indexOf('\u0001');
                String key = e.getKey().substring(cut + 1);
                Row r = e.getValue();
                if (!e.getKey().substring(0, cut).equals(table)
                        || r.ver <= after
                        || (!feed && r.gone)
                        || key.compareTo(from) < 0) {
                    continue;
                }
                b.append(first ? "" : ",");
                first = false;
                b.append("{\"table\":").append(quote(table)).append(",\"part\":\"\",\"key\":");
                b.append(quote(key)).append(",\"value\":\"");
                b.append(Base64.getEncoder().encodeToString(r.value)).append("\",\"ver\":");
                b.append(r.ver).append(r.gone ? ",\"tombstone\":true}" : "}");
            }
            b.append("],\"hasMore\":false,\"ver\":").append(ver).append(",\"nowMs\":");
            return b.append(now() + 1000).append('}').toString();
        }

        private synchronized void await(String table, long after, long waitMillis) {
            long end = now() + waitMillis;
            while (now() < end) {
                boolean newer =
                        rows.entrySet().stream()
                                .anyMatch(
                                        e ->
                                                e.getKey().startsWith(table + "\u0001")
                                                        && e.getValue().ver > after);
                if (newer) {
                    return;
                }
                try {
                    wait(Math.max(1, end - now()));
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private static final Pattern ENTRY =
                Pattern.compile(
                        "\\{\"table\":\"([^\"]*)\",\"part\":\"[^\"]*\",\"key\":\"([^\"]*)\""
                                + "(?:,\"value\":\"([^\"]*)\")?\\}");

        private void handle(Message m, Socket s, OutputStream out) throws IOException {
            String target = m.first.split(" ")[1];
            Map<String, String> q = query(target);
            sleep(4);
            String body;
            if (target.startsWith("/rows-get")) {
                body = list(q.get("table"), 0, false, q.getOrDefault("from", ""));
            } else if (target.startsWith("/rows-feed")) {
                long after = Long.parseLong(q.get("after"));
                await(q.get("table"), after, Long.parseLong(q.getOrDefault("waitMs", "0")));
                body = list(q.get("table"), after, true, "");
            } else if (target.startsWith("/rows-tx")) {
                Matcher e = ENTRY.matcher(new String(m.body, StandardCharsets.UTF_8));
                synchronized (this) {
                    while (e.find()) {
                        String v = e.group(3);
                        put(
                                e.group(1),
                                e.group(2),
                                v == null
                                        ? null
                                        : new String(
                                                Base64.getDecoder().decode(v),
                                                StandardCharsets.UTF_8));
                    }
                    body = "{\"ver\":" + ver + ",\"nowMs\":" + (now() + 1000) + "}";
                }
            } else {
                respond(out, 404, "", new byte[0]);
                return;
            }
            respond(
                    out,
                    200,
                    "Content-Type: application/json\r\n",
                    body.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** A plain server: runs each request for some time, counts it, and answers with its stamp. */
    static final class Server {
        final String id;
        final String address;
        final String service;
        final ServerSocket listener;
        final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        /** Length of each answer's body in bytes, 0 for a short text. */
        volatile int answerBytes;
        private final AtomicInteger active = new AtomicInteger();
        private final long born = System.currentTimeMillis();
        private final int slots;
        private final String zone;

        Server(String id, String service, String ip, String zone, int slots, long workMillis,
                Record record)
                throws IOException {
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.zone = zone;
            this.listener =
                    serve(
                            ip,
                            0,
                            (m, s, out) -> {
                                String path = m.first.split(" ")[1];
                                String request = m.header("X-Request-Id");
                                String load = active.get() + ",0," + slots;
                                if (path.equals("/health")) {
                                    respond(
                                            out,
                                            200,
                                            "X-Instance-Id: " + id + "\r\nX-Server-Load: " + load
                                                    + "\r\n",
                                            new byte[0]);
                                    return;
                                }
                                String echo = "X-Request-Id: " + request + "\r\n";
                                String expected = m.header("X-Expect-Instance");
                                if (expected != null && !expected.equals(id)) {
                                    respond(out, 421, echo + "X-Instance-Id: " + id + "\r\n",
                                            new byte[0]);
                                    return;
                                }
                                runs.computeIfAbsent(request, k -> new AtomicInteger())
                                        .incrementAndGet();
                                record.line("server " + id + " runs " + request + " "
                                        + m.first + ", body of " + m.body.length + " bytes");
                                active.incrementAndGet();
                                sleep(workMillis);
                                active.decrementAndGet();
                                respond(
                                        out,
                                        200,
                                        echo + "X-Server-Stamp: " + id + "." + request
                                                + "\r\nX-Server-Load: " + load
                                                + "\r\nKeep-Alive: timeout=15\r\n",
                                        answerBytes == 0
                                                ? ("done " + request)
                                                        .getBytes(StandardCharsets.UTF_8)
                                                : new byte[answerBytes]);
                            });
            this.address = ip + ":" + listener.getLocalPort();
        }

        void register(Store store) {
            store.put(
                    "servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\""
                            + zone + "\",\"version\":\"v1\",\"slots\":" + slots
                            + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":0,\"born\":"
                            + born + "}");
        }
    }

    /** A process of the system, started with the command of the deploy file. */
    static final class Daemon {
        private final List<String> command;
        private final Path settings;
        private final Path log;
        private Process process;

        Daemon(Path repository, String role, Path folder, String name, String json)
                throws IOException {
            String deploy = Files.readString(repository.resolve("deploy/system.toml"));
            Matcher m =
                    Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"")
                            .matcher(deploy);
            if (!m.find()) {
                throw new IOException("the deploy file has no role " + role);
            }
            command = List.of(m.group(1).split(" "));
            settings = folder.resolve(name + ".json");
            log = folder.resolve(name + ".log");
            Files.writeString(settings, json);
            this.repository = repository;
        }

        private final Path repository;

        void start() throws IOException {
            ProcessBuilder b = new ProcessBuilder(command);
            b.directory(repository.toFile());
            b.environment().put("PAPAYAWALK_NODE_FILE", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
            process = b.start();
        }

        boolean alive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        int exitValue() {
            return process.exitValue();
        }

        String tail(int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
        }

        void signal(String name) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        void end() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Waits until a machine says that it is ready. */
    static boolean awaitReady(String ip, int port, long millis) {
        long end = now() + millis;
        while (now() < end) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(ip, port), 500);
                s.setSoTimeout(1000);
                s.getOutputStream()
                        .write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                Message m = read(new BufferedInputStream(s.getInputStream()));
                if (m != null && m.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not there yet.
            }
            sleep(100);
        }
        return false;
    }

    /** Returns different free ports of an address. */
    static int[] freePorts(String ip, int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket s = new ServerSocket();
                held.add(s);
                s.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
                ports[i] = s.getLocalPort();
            }
        } finally {
            for (ServerSocket s : held) {
                s.close();
            }
        }
        return ports;
    }

    /** Settings of an entry as DEPLOY.md shows them. */
    static String entrySettings(
            String name, String ip, int[] ports, String zone, List<String> seeds, String store,
            int internalPort) {
        List<String> quoted = new ArrayList<>();
        seeds.forEach(s -> quoted.add("\"" + s + "\""));
        return "{\"nodeName\":\"" + name + "\",\"role\":\"entry\",\"machineClass\":\"front\","
                + "\"serves\":[\"front\",\"control\"],\"ip\":\"" + ip + "\",\"zone\":\"" + zone
                + "\",\"region\":\"luzon\",\"zones\":{\"luzon-a\":\"luzon\"},"
                + "\"listen\":{\"front\":\"" + ip + ":" + ports[0] + "\",\"ready\":\"" + ip + ":"
                + ports[1] + "\",\"control\":\"" + ip + ":" + ports[2] + "\"},"
                + "\"internalPorts\":[" + internalPort + "," + (internalPort + 15) + "],"
                + "\"seeds\":[" + String.join(",", quoted) + "],\"bootstrap\":true,"
                + "\"inTolerance\":false,\"limits\":{\"cpuShare\":0.75,\"cores\":1,"
                + "\"memoryMb\":430,\"maxFds\":4200,\"linkMbps\":1000.0,\"diskMb\":0},"
                + "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
                + "\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
                + "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\","
                + "\"chunks\"],\"faultTolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
                + "\"bounds\":{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,\"ackMs\":4000,"
                + "\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,"
                + "\"configApplyMs\":2000,\"downgradeSlackMs\":250,\"partitionMaxMs\":5000,"
                + "\"strictRevocation\":false,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,"
                + "\"budgetWindowS\":10,\"budgetSlack\":100,\"recoveryS\":12,\"passMs\":120,"
                + "\"retryAfterS\":0,\"version_ms\":8000,\"version_all_ms\":0},"
                + "\"provider\":{\"address\":\"" + store + "\",\"form\":\"table\","
                + "\"writesPerS\":400,\"readsPerS\":2000,\"txMs\":8.0,\"partitionWritesS\":150,"
                + "\"rowBytes\":65536,\"across\":false,\"historyS\":20,\"blobBytes\":8388608,"
                + "\"blobMs\":25.0,\"blobMbS\":80.0}}";
    }
}
