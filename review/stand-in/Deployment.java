import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment on loopback: the store, plain servers and two entries of one zone. */
final class Deployment {
    /** What a case does once the deployment is ready; returns its exit status. */
    interface Play {
        int run(Deployment d, boolean trouble) throws Exception;
    }

    static final String KEY = "jnbanfqasnmgkcuyj8pj";

    final Kit.Record record;
    final Kit.Store store;
    final List<Kit.Server> servers = new ArrayList<>();
    final List<Kit.Daemon> daemons = new ArrayList<>();
    private final List<InetSocketAddress> entries = new ArrayList<>();
    private final String net;
    private final Path repository;
    private final Path folder;

    private Deployment(Path repository, Path folder, Kit.Record record) throws IOException {
        this.repository = repository;
        this.folder = folder;
        this.record = record;
        // A network of its own, so that cases may run beside each other.
        net = "127.44." + (10 + ProcessHandle.current().pid() % 200) + ".";
        store = new Kit.Store(net + 1, 0);
    }

    /**
     * Plays a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case
     * couldn't run. The arguments are the repository and the record.
     */
    static void main(String[] args, Play play) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("papayawalk-review");
        int code = 2;
        Deployment d = null;
        try (Kit.Record record = new Kit.Record(Path.of(args[1]))) {
            record.line("trouble: " + trouble);
            try {
                d = new Deployment(Path.of(args[0]), folder, record);
                code = play.run(d, trouble);
            } catch (IOException | RuntimeException e) {
                record.line("the case couldn't run: " + e);
            }
            record.line("exit " + code);
        } finally {
            if (d != null) {
                d.daemons.forEach(Kit.Daemon::end);
            }
            try (var files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
            }
        }
        System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "couldn't run");
        System.exit(code);
    }

    /** Starts and registers servers of a service. */
    void startServers(String service, int count, int slots, long workMillis, int answerBytes)
            throws IOException {
        for (int i = 0; i < count; i++) {
            String ip = net + (20 + servers.size());
            Kit.Server s =
                    new Kit.Server(
                            "i-" + service + i, service, ip, "luzon-a", slots, workMillis, record);
            s.answerBytes = answerBytes;
            s.register(store);
            servers.add(s);
        }
    }

    /** Starts two entries and waits until both are ready and know each other. */
    void startEntries() throws IOException {
        // Ports are the same on all machines, so that one address tells which are free.
        int[] p = Kit.freePorts(net + 10, 4);
        int internal = p[3];
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String ip = net + (10 + i);
            seeds.add(ip + ":" + p[2]);
            entries.add(new InetSocketAddress(ip, p[0]));
        }
        for (int i = 0; i < 2; i++) {
            String json =
                    Kit.entrySettings(
                            "front-luzon-a-" + (i + 1),
                            net + (10 + i),
                            p,
                            "luzon-a",
                            seeds,
                            store.address,
                            internal);
            Kit.Daemon d = new Kit.Daemon(repository, "entry", folder, "entry" + i, json);
            daemons.add(d);
            d.start();
        }
        for (int i = 0; i < 2; i++) {
            if (!Kit.awaitReady(net + (10 + i), p[1], 30_000)) {
                throw new IOException("entry " + i + " isn't ready: " + daemons.get(i).tail(5));
            }
        }
        // Longer than contactMs, so that both are in touch.
        Kit.sleep(4000);
        record.line("both entries are ready");
    }

    InetSocketAddress entry(int i) {
        return entries.get(i);
    }

    /** A route as the desired state holds it. */
    static String route(String name, String prefix, String kind, int timeoutMillis, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"voka93.example\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2,\"allowAnonymous\":false}";
    }

    static String limits(int maxBodyBytes) {
        return "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + maxBodyBytes
                + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
    }

    static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + key + "\"],\"priority\":1}";
    }

    /** The operator writes a desired state; the store's answer is its confirmation. */
    void configure(
            int version, List<String> routes, String service, String limits, List<String> tenants) {
        store.put(
                "op",
                "config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                        + "],\"services\":[{\"name\":\"" + service
                        + "\",\"healthPath\":\"/health\",\"maxConnections\":96,"
                        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":" + limits
                        + ",\"tenants\":[" + String.join(",", tenants) + "]}");
        record.line("the store confirms version " + version + " of the desired state");
    }

    /** Head of a request with a body of the given length, none if negative. */
    static String head(String method, String path, String id, String key, int millis, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: voka93.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + millis + "\r\nX-Credential: " + key + "\r\n"
                + (length < 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }

    boolean ran(String id) {
        return servers.stream().anyMatch(s -> s.runs.containsKey(id));
    }
}
