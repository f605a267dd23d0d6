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
import java.util.function.IntSupplier;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.admit.StopSchedule;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.ManagedRole;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.daemon.managed.SharedEvidence;
import org.papayawalk.daemon.managed.StatusEndpoint;
import org.papayawalk.daemon.managed.weight.WeightRelay;
import org.papayawalk.http.SocketOptions;
import org.papayawalk.log.Event;

/** Role of the process that receives callers' requests. Thread-safe. */
public final class ManagedEntryRole implements ManagedRole {
    private static final int ACCEPT_BACKLOG = 1024;

    /** Time after the stop signal during which new requests are still served. */
    private static final Duration SERVE_AFTER_STOP = Duration.ofMillis(2800);

    /** Time before the end of the grace period at which the process exits by itself. */
    private static final Duration KILL_MARGIN = Duration.ofMillis(600);

    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(100);

    /** Time for which an entry that knows all tables waits for a proof that they are not stale. */
    private static final Duration MAX_PROOF_WAIT = Duration.ofSeconds(1);

    private final ManagedNode node;

    private final EventLoop loop;

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final EntryContext entry;

    /** Caches weights for the agents of the region. */
    private final WeightRelay relay;

    /** Set once the first complete snapshot has been received. */
    private volatile boolean ready;

    private volatile boolean stopping;

    /**
     * Creates the role.
     *
     * @param node services shared by the parts of the daemon
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
                        node.entries(),
                        new ManagedEntryMetrics(registry));
    }

    @Override
    public void start() throws IOException {
        node.state().addListener(this::snapshotChanged);
        node.state().proofs().addOperatorListener(this::desiredStateProven);
        PoisonGuard poison = entry.poison();
        SharedEvidence evidence =
                new SharedEvidence(poison.suspects(), entry.limits(), poison.promptParts());
        node.runAsEntry(evidence, relay.handler());
        node.storeCalls().register(registry);
        StatusEndpoint status =
                new StatusEndpoint(node.runtime().group(), () -> ready && !stopping, registry);
        if (node.settings().readyAddress().isPresent()) {
            status.listen(Addresses.parse(node.settings().readyAddress().get()));
        }
        status.listenForMetrics(node.settings().ip());
        String address =
                node.settings()
                        .callerAddress()
                        .orElseThrow(
                                () ->
                                        new IOException(
                                                "the settings give no address for callers; an"
                                                        + " entry needs an IP address and port"));
        ChannelFuture bound =
                SocketOptions.apply(new ServerBootstrap())
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initCallerChannel(channel);
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for callers on " + address, bound.cause());
        }
    }

    @Override
    public void stop() {
        stopping = true;
        Event.named("stopping").with("ready", ready).info();
        Instant stopAt = node.clock().instant();
        Instant endsAt = stopAt.plus(node.settings().limits().grace()).minus(KILL_MARGIN);
        Instant servesUntil = stopAt.plus(SERVE_AFTER_STOP);
        StopSchedule schedule = new StopSchedule(servesUntil, endsAt);
        entry.stop(schedule);
        node.deregister();
        while (node.clock().instant().isBefore(endsAt)) {
            boolean serves = !node.clock().instant().isAfter(servesUntil);
            if (!serves && closeIdleConnections(schedule)) {
                break;
            }
            sleepPollInterval();
        }
        loop.submit(() -> entry.callers().all().forEach(CallerHandler::endUnfinished))
                .awaitUninterruptibly(DRAIN_POLL_INTERVAL.toMillis());
        Event.named("stopped").info();
    }

    /**
     * Returns the memory of the responses that are being buffered.
     *
     * @return bytes
     */
    long bufferedBytes() {
        return entry.bufferBudget().heldBytes();
    }

    /**
     * Returns the memory of the request bodies that are held.
     *
     * @return bytes
     */
    long heldBodyBytes() {
        return loop.submit(() -> entry.bodies().heldBytes()).syncUninterruptibly().getNow();
    }

    /**
     * Returns the evidence on parts of prompts.
     *
     * @return thread-safe registry
     */
    PromptPartRegistry promptParts() {
        return entry.poison().promptParts();
    }

    private void initCallerChannel(Channel channel) {
        IntSupplier headerBytes = () -> entry.callerLimits().maxHeaderBytes();
        ConnectionHeads heads = new ConnectionHeads(entry.headerLines());
        CallerHandler handler = new CallerHandler(entry, heads);
        channel.pipeline()
                .addLast(handler.turns())
                .addLast(new CallerDecoder(headerBytes, heads))
                .addLast(new HttpResponseEncoder())
                .addLast(handler);
    }

    // Called on the control thread; the snapshot is applied on the event loop thread.
    private void snapshotChanged(PlatformSnapshot snapshot) {
        loop.execute(
                () -> {
                    entry.upstreams().update(snapshot);
                    entry.snapshotChanged();
                    if (!ready && snapshot.complete()) {
                        awaitProof();
                    }
                });
    }

    // Called on the control thread, after the snapshot that has these changes.
    private void desiredStateProven(Instant completeUntil) {
        loop.execute(
                () -> {
                    entry.desiredAge().recordComplete(completeUntil);
                    if (entry.upstreams().snapshot().complete()) {
                        reportReady();
                    }
                });
    }

    // Without a proof, requests can be served, but none can be denied.
    private void awaitProof() {
        if (entry.desiredAge().isProven()) {
            reportReady();
            return;
        }
        loop.schedule(this::reportReady, MAX_PROOF_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void reportReady() {
        if (!ready) {
            ready = true;
            Event.named("ready").info();
        }
    }

    // Closes idle connections of callers. Returns true if no request is in progress or expected.
    private boolean closeIdleConnections(StopSchedule schedule) {
        try {
            return loop.submit(
                            () -> {
                                Instant now = node.clock().instant();
                                boolean allClosed = true;
                                for (CallerHandler caller : entry.callers().all()) {
                                    allClosed &= caller.closeIfIdle(schedule, now);
                                }
                                return allClosed;
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

    private static void sleepPollInterval() {
        try {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
