package org.papayawalk.daemon.standalone;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.papayawalk.core.member.Member;
import org.papayawalk.wire.proto.Heartbeat;

/** Registers what every daemon measures. Holds no state. */
final class NodeMetrics {

    /** Prevents instances. */
    private NodeMetrics() {}

    /**
     * Registers the metrics of a node.
     *
     * @param node node
     * @param registry registry of the daemon
     */
    static void register(Node node, PrometheusRegistry registry) {
        gauge(registry, "papayawalk_config_version", "Configuration in force")
                .callback(c -> c.call(node.configuration().version().number()))
                .register(registry);
        gauge(registry, "papayawalk_hosts_known", "Hosts known")
                .callback(c -> c.call(node.members().size()))
                .register(registry);
        gauge(registry, "papayawalk_hosts_heard", "Hosts heard within the silence limit")
                .callback(c -> c.call(heard(node)))
                .register(registry);
        gauge(registry, "papayawalk_requests_in_flight", "Requests in progress")
                .callback(c -> c.call(node.describe().getInFlight()))
                .register(registry);
        gauge(registry, "papayawalk_requests_queued", "Requests that wait")
                .callback(c -> c.call(node.describe().getQueued()))
                .register(registry);
        gauge(registry, "papayawalk_chunk_ratio", "Share of the wanted version held, 0 to 1")
                .callback(c -> c.call(chunkRatio(node.describe())))
                .register(registry);
        CounterWithCallback.builder()
                .name("papayawalk_control_bytes_sent_total")
                .help("Bytes of control messages sent to peers")
                .callback(c -> c.call(node.controlBytesSent()))
                .register(registry);
    }

    /**
     * Starts a gauge.
     *
     * @param registry registry of the daemon
     * @param name name
     * @param help meaning
     * @return gauge under construction
     */
    private static GaugeWithCallback.Builder gauge(
            PrometheusRegistry registry, String name, String help) {
        return GaugeWithCallback.builder().name(name).help(help);
    }

    /**
     * Counts the hosts heard lately.
     *
     * @param node node
     * @return number of hosts
     */
    private static long heard(Node node) {
        var now = node.clock().instant();
        return node.members().stream().filter((Member m) -> m.reportedRecently(now)).count();
    }

    /**
     * Returns the share of the wanted version that is held.
     *
     * @param heartbeat heartbeat of the daemon
     * @return 0 to 1
     */
    private static double chunkRatio(Heartbeat heartbeat) {
        int total = heartbeat.getChunksTotal();
        return total == 0 ? 0 : (double) heartbeat.getChunksHeld() / total;
    }
}
