import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry gets SIGTERM while clients with a narrow link read answers that the server has given
 * completely. Counts the answers that are cut off well before the grace time ends.
 */
public final class SlowReaders {
    private static final int CLIENTS = 4;
    private static final int ANSWER_BYTES = 8_000_000;
    private static final int READ_BYTES = 30_000;
    private static final int READ_PAUSE_MILLIS = 24;
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final int GRACE_MILLIS = 8_000;
    // A channel that ends in this time before SIGKILL isn't counted.
    private static final int STOP_MARGIN_MILLIS = 800;

    private SlowReaders() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, SlowReaders::play);
    }

    private static int play(Deployment d, boolean trouble) throws Exception {
        Kit.Record record = d.record;
        d.startServers("shop-site", 2, 8, 20, ANSWER_BYTES);
        d.configure(
                7,
                List.of(Deployment.route("r-look", "/boye614/", "safe", 15_000, "shop-site")),
                "shop-site",
                Deployment.limits(4_194_304),
                List.of(Deployment.tenant("bozi300", Deployment.KEY)));
        d.startEntries();
        InetSocketAddress entry = d.entry(0);
        CountDownLatch begun = new CountDownLatch(CLIENTS);
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Kit.daemon(
                    "client",
                    () -> {
                        look(client, entry, begun, whole, cut, record);
                        ended.countDown();
                    });
        }
        if (!begun.await(15, TimeUnit.SECONDS)) {
            record.line("not all clients got the beginning of their answer");
            return 2;
        }
        long term = Kit.now();
        if (trouble) {
            record.line("entry 0 gets SIGTERM; graceS is 8");
            d.daemons.get(0).signal("TERM");
        }
        // The answers have to be read by then without the disruption too, or nothing is shown.
        long limit = GRACE_MILLIS - STOP_MARGIN_MILLIS;
        boolean inTime = ended.await(limit, TimeUnit.MILLISECONDS);
        record.line(
                "whole answers: " + whole + ", cut off: " + cut + ", "
                        + (Kit.now() - term) + " ms later");
        if (cut.get() == 0 && !inTime) {
            record.line("some clients still read, so nothing is shown");
            return 2;
        }
        return cut.get() > 0 ? 1 : 0;
    }

    // Reads an answer as a client with a narrow link does, and counts whether it came whole or its
    // channel ended before.
    private static void look(
            int client,
            InetSocketAddress entry,
            CountDownLatch begun,
            AtomicInteger whole,
            AtomicInteger cut,
            Kit.Record record) {
        String id = "look-" + client;
        long got = 0;
        String end = "the channel ended";
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            s.connect(entry, 1000);
            s.setSoTimeout(15_000);
            String head =
                    Deployment.head("GET", "/boye614/bo77/2f", id, Deployment.KEY, 15_000, -1);
            record.line("client " + client + " sends " + id);
            s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = s.getInputStream();
            byte[] buffer = new byte[READ_BYTES];
            while (got < ANSWER_BYTES) {
                int wanted = (int) Math.min(READ_BYTES, ANSWER_BYTES - got);
                int n = in.readNBytes(buffer, 0, wanted);
                got += n;
                if (n > 0 && got == n) {
                    begun.countDown();
                }
                if (n < wanted) {
                    break;
                }
                Kit.sleep(READ_PAUSE_MILLIS);
            }
        } catch (IOException e) {
            end = String.valueOf(e.getMessage());
        }
        boolean complete = got >= ANSWER_BYTES;
        (complete ? whole : cut).incrementAndGet();
        record.line(
                "client " + client + " has " + got + " bytes of " + id + ": "
                        + (complete ? "whole" : "not " + ANSWER_BYTES + " and the head, " + end));
    }
}
