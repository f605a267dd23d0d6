package org.papayawalk.daemon.standalone;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.papayawalk.core.member.Member;
import org.papayawalk.wire.proto.Heartbeat;

/** Registers the metrics that every daemon exports, entry or agent. Stateless. */
final class NodeMetrics {
    private NodeMetrics() {}

    /**
     * Registers metrics whose values are read from a node at each scrape.
     *
     * @param node node of the daemon
     * @param registry metrics of the daemon
     */
    static void register(Node node, PrometheusRegistry registry) {
        gauge(registry, "papayawalk_config_version", "Configuration in force")
                .callback(c -> c.call(node.configuration().version().number()))
                .register(registry);
        gauge(registry, "papayawalk_hosts_known", "Hosts known")
                .callback(c -> c.call(node.members().size()))
                .register(registry);
        gauge(registry, "papayawalk_hosts_heard", "Hosts heard within the silence limit")
                .callback(c -> c.call(recentlyReportingHosts(node)))
                .register(registry);
        gauge(registry, "papayawalk_requests_in_flight", "Requests in progress")
                .callback(c -> c.call(node.buildHeartbeat().getInFlight()))
                .register(registry);
        gauge(registry, "papayawalk_requests_queued", "Requests that wait")
                .callback(c -> c.call(node.buildHeartbeat().getQueued()))
                .register(registry);
        gauge(registry, "papayawalk_chunk_ratio", "Share of the wanted version held, 0 to 1")
                .callback(c -> c.call(chunkRatio(node.buildHeartbeat())))
                .register(registry);
        CounterWithCallback.builder()
                .name("papayawalk_control_bytes_sent_total")
                .help("Bytes of control messages sent to peers")
                .callback(c -> c.call(node.controlBytesSent()))
                .register(registry);
    }

    private static GaugeWithCallback.Builder gauge(
            PrometheusRegistry registry, String name, String help) {
        return GaugeWithCallback.builder().name(name).help(help);
    }

    // Number of hosts whose last report is not older than the silence limit.
    private static long recentlyReportingHosts(Node node) {
        var now = node.clock().instant();
        return node.members().stream().filter((Member m) -> m.reportedRecently(now)).count();
    }

    // Fraction of the target version's chunks that this host holds, 0 if their number is unknown.
    private static double chunkRatio(Heartbeat heartbeat) {
        int total = heartbeat.getChunksTotal();
        return total == 0 ? 0 : (double) heartbeat.getChunksHeld() / total;
    }
}
