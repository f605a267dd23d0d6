import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once, each with a request that is as long as the desired state allows.
 * Meanwhile other clients place orders on kept channels. Counts the orders that a sound server ran
 * and whose channel ended without an answer.
 */
public final class LargeBodies {
    private static final int UPLOADS = 30;
    private static final int BODY_BYTES = 4_000_000;
    private static final int ORDERING_CLIENTS = 8;
    private static final int ALLOWED_LOSSES = 3;

    private LargeBodies() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, LargeBodies::play);
    }

    private static int play(Deployment d, boolean trouble) throws Exception {
        Kit.Record record = d.record;
        d.startServers("order-desk", 3, 6, 300, 0);
        d.configure(
                7,
                List.of(
                        Deployment.route(
                                "r-order", "/filo73/", "non_idempotent", 10_000, "order-desk")),
                "order-desk",
                Deployment.limits(4_194_304),
                List.of(Deployment.tenant("bozi300", Deployment.KEY)));
        d.startEntries();
        InetSocketAddress entry = d.entry(0);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger answered = new AtomicInteger();
        Map<String, String> unanswered = new ConcurrentHashMap<>();
        for (int c = 0; c < ORDERING_CLIENTS; c++) {
            int client = c;
            Kit.daemon(
                    "orders", () -> orders(client, entry, stop, answered, unanswered, record));
        }
        Kit.sleep(3000);
        CountDownLatch uploads = new CountDownLatch(UPLOADS);
        AtomicInteger uploaded = new AtomicInteger();
        // Without the disruption the same users come one after the other.
        for (int u = 0; u < UPLOADS; u++) {
            int number = u;
            Runnable upload =
                    () -> {
                        if (upload(number, entry, record)) {
                            uploaded.incrementAndGet();
                        }
                        uploads.countDown();
                    };
            if (trouble) {
                Kit.daemon("upload", upload);
            } else {
                upload.run();
            }
        }
        uploads.await(40, TimeUnit.SECONDS);
        Kit.sleep(2000);
        boolean alive = d.daemons.get(0).alive();
        stop.set(true);
        Kit.sleep(1500);
        record.line("orders answered: " + answered + ", uploads answered: " + uploaded);
        if (!alive) {
            record.line("entry 0 ended by itself with status " + d.daemons.get(0).exitValue());
            record.line("its last line: " + d.daemons.get(0).tail(1));
        }
        int lost = 0;
        for (Map.Entry<String, String> e : unanswered.entrySet()) {
            boolean ran = d.ran(e.getKey());
            record.line(
                    "order " + e.getKey() + (ran ? " was run by a server and" : " wasn't run,")
                            + " its channel ended without an answer: " + e.getValue());
            lost += ran ? 1 : 0;
        }
        record.line(
                lost + " requests were passed on to a sound server and their kept channel was"
                        + " closed without an answer; allowed: " + ALLOWED_LOSSES);
        return lost > ALLOWED_LOSSES || !alive ? 1 : 0;
    }

    private static byte[] head(String id, int length) {
        return Deployment.head("POST", "/filo73/de11/2f", id, Deployment.KEY, 10_000, length)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    // Places one order after the other on one channel until it ends.
    private static void orders(
            int client,
            InetSocketAddress entry,
            AtomicBoolean stop,
            AtomicInteger answered,
            Map<String, String> unanswered,
            Kit.Record record) {
        byte[] body = "{\"order\":1}".getBytes(StandardCharsets.UTF_8);
        String id = "";
        try (Socket s = new Socket()) {
            s.connect(entry, 1000);
            s.setTcpNoDelay(true);
            s.setSoTimeout(11_000);
            InputStream in = new BufferedInputStream(s.getInputStream());
            for (int n = 0; !stop.get(); n++) {
                id = "order-" + client + "-" + n;
                unanswered.put(id, "sent");
                byte[] head = head(id, body.length);
                byte[] all = new byte[head.length + body.length];
                System.arraycopy(head, 0, all, 0, head.length);
                System.arraycopy(body, 0, all, head.length, body.length);
                s.getOutputStream().write(all);
                Kit.Message answer = Kit.read(in);
                if (answer == null) {
                    throw new IOException("closed");
                }
                unanswered.remove(id);
                answered.incrementAndGet();
                record.line("client " + client + " gets " + answer.status() + " for " + id);
            }
        } catch (IOException e) {
            unanswered.computeIfPresent(id, (k, v) -> String.valueOf(e.getMessage()));
        }
    }

    private static boolean upload(int number, InetSocketAddress entry, Kit.Record record) {
        String id = "upload-" + number;
        byte[] piece = new byte[40_000];
        Arrays.fill(piece, (byte) 'x');
        try (Socket s = new Socket()) {
            s.connect(entry, 1000);
            s.setSoTimeout(12_000);
            record.line("upload " + number + " begins, " + BODY_BYTES + " bytes");
            s.getOutputStream().write(head(id, BODY_BYTES));
            for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
                s.getOutputStream().write(piece);
            }
            Kit.Message answer = Kit.read(new BufferedInputStream(s.getInputStream()));
            record.line(
                    "upload " + number + " gets "
                            + (answer == null ? "a closed channel" : answer.first));
            return answer != null;
        } catch (IOException e) {
            record.line("upload " + number + " ends: " + e.getMessage());
            return false;
        }
    }
}
