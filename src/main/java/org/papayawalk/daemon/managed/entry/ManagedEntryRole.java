package org.papayawalk.daemon.managed.entry;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.daemon.managed.ManagedMain;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.daemon.managed.StatusEndpoint;
import org.papayawalk.daemon.managed.weight.WeightRelay;
import org.papayawalk.http.SocketOptions;
import org.papayawalk.log.Event;

/** Role of the process that callers talk to. Thread-safe. */
public final class ManagedEntryRole implements ManagedMain.Role {
    /** Connections that may wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 1024;

    /** Time after the request to stop during which further requests are served. */
    private static final Duration SERVE_AFTER_STOP = Duration.ofMillis(2800);

    /** Time before the kill at which the process ends by itself. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(600);

    /** Pause between looks at what is still under way. */
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(100);

    /** Common part of the daemon. */
    private final ManagedNode node;

    /** Traffic thread. */
    private final EventLoop loop;

    /** Registry of the metrics. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** What all exchanges share. */
    private final EntryContext entry;

    /** Keeps weights for the agents of the region. */
    private final WeightRelay relay;

    /** Whether requests can be decided. */
    private volatile boolean ready;

    /** Whether the daemon stops. */
    private volatile boolean stopping;

    /**
     * Creates the role.
     *
     * @param node common part of the daemon
     */
    public ManagedEntryRole(ManagedNode node) {
        this.node = node;
        this.loop = node.runtime().group().next();
        this.relay = new WeightRelay(node);
        this.entry =
                new EntryContext(
                        node.settings(),
                        loop,
                        node.clock(),
                        node::entryCount,
                        new ManagedEntryMetrics(registry));
    }

    @Override
    public void start() throws IOException {
        node.state().listen(this::viewChanged);
        node.runAsEntry(entry.suspects(), relay.handler());
        StatusEndpoint status =
                new StatusEndpoint(node.runtime().group(), () -> ready && !stopping, registry);
        if (node.settings().readyAddress().isPresent()) {
            status.listen(Addresses.parse(node.settings().readyAddress().get()));
        }
        status.listenForMetrics(node.settings().ip());
        String address =
                node.settings()
                        .callerAddress()
                        .orElseThrow(() -> new IOException("no address for callers is given"));
        ChannelFuture bound =
                SocketOptions.apply(new ServerBootstrap())
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initCaller(channel);
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
    }

    @Override
    public void stop() {
        stopping = true;
        Event.named("stopping").with("ready", ready).info();
        Instant begun = node.clock().instant();
        Instant last = begun.plus(node.settings().limits().grace()).minus(KILL_MARGIN);
        Instant closeIdle = begun.plus(SERVE_AFTER_STOP);
        loop.execute(entry::stop);
        node.deregister();
        while (node.clock().instant().isBefore(last)) {
            boolean closing = node.clock().instant().isAfter(closeIdle);
            if (closing) {
                entry.refuseRequests();
            }
            if (closing && closeIdleConnections()) {
                break;
            }
            sleepPollInterval();
        }
        Event.named("stopped").info();
    }

    /**
     * Builds the pipeline of a caller's connection.
     *
     * @param channel connection
     */
    private void initCaller(Channel channel) {
        CallerLimits limits =
                entry.upstreams()
                        .view()
                        .desired()
                        .map(DesiredState::limits)
                        .orElse(CallerLimits.DEFAULT);
        channel.pipeline()
                .addLast(new CallerDecoder(CallerDecoder.config(limits.maxHeaderBytes())))
                .addLast(new HttpResponseEncoder())
                .addLast(new CallerHandler(entry, limits));
    }

    /**
     * Takes a new view.
     *
     * @param view view
     */
    private void viewChanged(PlatformSnapshot view) {
        loop.execute(
                () -> {
                    entry.upstreams().update(view);
                    entry.viewChanged();
                    if (!ready && view.complete()) {
                        ready = true;
                        Event.named("ready").info();
                    }
                });
    }

    /**
     * Closes idle connections.
     *
     * @return true if no request is under way
     */
    private boolean closeIdleConnections() {
        try {
            return loop.submit(
                            () -> {
                                boolean busy = false;
                                for (CallerHandler c : entry.callers()) {
                                    c.closeIfIdle();
                                    busy |= c.isBusy();
                                }
                                return !busy;
                            })
                    .get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return true;
        } catch (ExecutionException e) {
            Event.named("drain-failed").error(e);
            return true;
        }
    }

    /** Waits a little. */
    private static void sleepPollInterval() {
        try {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
