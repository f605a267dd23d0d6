import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A new version of the desired state adds a tenant, whose name has a blank, and a route. Later than
 * configApplyMs after its confirmation, clients of another tenant send requests on the new route.
 */
public final class TenantName {
    private static final int REQUESTS = 20;
    private static final int CONFIG_APPLY_MILLIS = 2_000;

    private TenantName() {}

    public static void main(String[] args) throws Exception {
        Deployment.main(args, TenantName::play);
    }

    private static int play(Deployment d, boolean trouble) throws Exception {
        d.startServers("order-desk", 3, 6, 20, 0);
        String old = Deployment.tenant("bozi300", Deployment.KEY);
        String first = Deployment.route("r-one", "/filo73/", "safe", 6000, "order-desk");
        d.configure(7, List.of(first), "order-desk", Deployment.limits(4_194_304), List.of(old));
        d.startEntries();
        String name = trouble ? "Bozi Cakes" : "bozicakes";
        String added = Deployment.tenant(name, "bvk9m68k7b2ex5wa5xwy");
        String second = Deployment.route("r-two", "/lepu270/", "safe", 6000, "order-desk");
        d.record.line("version 12 adds the tenant \"" + name + "\" and the route /lepu270/");
        d.configure(
                12,
                List.of(first, second),
                "order-desk",
                Deployment.limits(4_194_304),
                List.of(old, added));
        Kit.sleep(3 * CONFIG_APPLY_MILLIS);
        int denied = 0;
        for (int i = 0; i < REQUESTS; i++) {
            denied += look(d, d.entry(i % 2), "new-route-" + i) == 404 ? 1 : 0;
            Kit.sleep(100);
        }
        d.record.line(
                denied + " of " + REQUESTS + " requests, sent more than "
                        + 3 * CONFIG_APPLY_MILLIS + " ms after the confirmation, were refused with"
                        + " 404 as only the older version says");
        return denied > 0 ? 1 : 0;
    }

    private static int look(Deployment d, InetSocketAddress entry, String id) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(entry, 1000);
            s.setSoTimeout(7000);
            String head =
                    Deployment.head("GET", "/lepu270/2f", id, Deployment.KEY, 6000, -1);
            s.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Kit.Message answer = Kit.read(new BufferedInputStream(s.getInputStream()));
            int status = answer == null ? 0 : answer.status();
            d.record.line(id + " gets " + (status == 0 ? "no answer" : status));
            return status;
        }
    }
}
