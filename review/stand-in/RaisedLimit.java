import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A new version of the desired state raises the length that a request's body may have. Later than
 * configApplyMs after its confirmation, clients send such requests on the channels that they have
 * kept, and one on a new channel. Counts those that are denied.
 */
public final class RaisedLimit {
    private static final int CHANNELS = 10;
    private static final int LOWER_LIMIT = 65_536;
    private static final int HIGHER_LIMIT = 4_194_304;
    private static final int BODY_BYTES = 200_000;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int ALLOWED_DENIALS = 5;

    private RaisedLimit() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, RaisedLimit::play);
    }

    private static int play(Deployment d, boolean trouble) throws Exception {
        d.startServers("order-desk", 3, 6, 20, 0);
        // Without the disruption, the limit is the higher one from the start.
        configure(d, 7, trouble ? LOWER_LIMIT : HIGHER_LIMIT);
        d.startEntries();
        List<Socket> kept = new ArrayList<>();
        int sent = 0;
        int denied = 0;
        try {
            for (int i = 0; i < CHANNELS; i++) {
                Socket s = open(d.entry(0));
                kept.add(s);
                int status = order(d, s, "before-" + i, 100);
                sent++;
                if (status != 200) {
                    return 2;
                }
            }
            configure(d, 12, HIGHER_LIMIT);
            Kit.sleep(3 * CONFIG_APPLY_MILLIS);
            for (int i = 0; i < CHANNELS; i++) {
                int status = order(d, kept.get(i), "kept-" + i, BODY_BYTES);
                sent++;
                denied += status == 413 ? 1 : 0;
            }
            try (Socket s = open(d.entry(0))) {
                order(d, s, "new-channel", BODY_BYTES);
                sent++;
            }
        } finally {
            for (Socket s : kept) {
                s.close();
            }
        }
        d.record.line(
                denied + " of " + sent + " requests were denied though they are proper; allowed: "
                        + ALLOWED_DENIALS + " and one in 500");
        return denied > ALLOWED_DENIALS + sent / 500 ? 1 : 0;
    }

    private static void configure(Deployment d, int version, int maxBodyBytes) {
        d.record.line("maxBodyBytes is to be " + maxBodyBytes);
        d.configure(
                version,
                List.of(
                        Deployment.route(
                                "r-order", "/filo73/", "non_idempotent", 6000, "order-desk")),
                "order-desk",
                Deployment.limits(maxBodyBytes),
                List.of(Deployment.tenant("bozi300", Deployment.KEY)));
    }

    private static Socket open(InetSocketAddress entry) throws IOException {
        Socket s = new Socket();
        s.connect(entry, 1000);
        s.setSoTimeout(7000);
        return s;
    }

    // Returns the status of the answer, 0 if the channel ended without one.
    private static int order(Deployment d, Socket s, String id, int length) throws IOException {
        String head =
                Deployment.head("POST", "/filo73/de11/2f", id, Deployment.KEY, 6000, length);
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        try {
            s.getOutputStream().write(all);
        } catch (IOException e) {
            d.record.line(id + ": " + e.getMessage() + " while it is sent");
        }
        int status = 0;
        try {
            InputStream in = new BufferedInputStream(s.getInputStream());
            Kit.Message answer = Kit.read(in);
            status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            d.record.line(id + ": " + e.getMessage());
        }
        d.record.line(
                id + ", body of " + length + " bytes, gets "
                        + (status == 0 ? "no answer" : status));
        return status;
    }
}
