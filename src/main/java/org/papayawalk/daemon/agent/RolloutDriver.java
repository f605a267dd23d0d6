package org.papayawalk.daemon.agent;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.port.Engine;
import org.papayawalk.core.port.EngineStatus;
import org.papayawalk.core.rollout.RolloutStep;
import org.papayawalk.core.rollout.SwitchOrder;
import org.papayawalk.core.rollout.WaveGate;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.log.Event;

/**
 * Takes a host from the version that its engine reports to the version that the configuration
 * wants: fetch, seal, wait for the wave, close the door, switch, read back, open the door. Not
 * thread-safe: confined to the control thread; {@link #step()} and {@link #remark()} are safe from
 * any thread.
 */
public final class RolloutDriver {
    /** Pause after a step that failed. */
    private static final Duration RETRY_PAUSE = Duration.ofSeconds(1);

    /** Node. */
    private final Node node;

    /** Engine. */
    private final Engine engine;

    /** Fetches the weights. */
    private final Swarm swarm;

    /** Door for requests. */
    private final UpstreamDoor door;

    /** Takes leases. */
    private final LeaseKeeper leases;

    /** Bounds the hosts that switch at once. */
    private final WaveGate gate = new WaveGate();

    /** Version that the state below belongs to. */
    private Digest target = Digest.NONE;

    /** Whether the engine has sealed the target. */
    private boolean sealed;

    /** When the target was sealed. */
    private Instant sealedAt = Instant.MIN;

    /** Whether a call to the engine or the table is under way. */
    private boolean busy;

    /** Time before which nothing is tried again. */
    private Instant pausedUntil = Instant.MIN;

    /** Incarnation of the engine that took the chunks. */
    private long engineIncarnation;

    /** Step as last published. */
    private volatile RolloutStep step = RolloutStep.UNKNOWN;

    /** What keeps the host back, empty if nothing does. */
    private volatile String remark = "";

    /**
     * Creates a driver.
     *
     * @param node node
     * @param engine engine
     * @param swarm fetches the weights
     * @param door door for requests
     * @param leases takes leases
     */
    public RolloutDriver(
            Node node, Engine engine, Swarm swarm, UpstreamDoor door, LeaseKeeper leases) {
        this.node = node;
        this.engine = engine;
        this.swarm = swarm;
        this.door = door;
        this.leases = leases;
    }

    /**
     * Returns the step.
     *
     * @return step as last published
     */
    public RolloutStep step() {
        return step;
    }

    /**
     * Returns what keeps the host back.
     *
     * @return text for people, empty if nothing does
     */
    public String remark() {
        return remark;
    }

    /**
     * Returns the hosts of this host's chain in the rollout that it keeps in touch with.
     *
     * @param spec row of the fleet
     * @param members all known hosts
     * @return predecessors and successor, a bounded number
     */
    public List<HostId> chain(FleetSpec spec, List<Member> members) {
        List<HostId> order = order(spec, members);
        HostId self = node.self().host();
        List<HostId> chain = new ArrayList<>(gate.predecessors(self, order, spec.maxUnavailable()));
        gate.successor(self, order, spec.maxUnavailable()).ifPresent(chain::add);
        return chain;
    }

    /**
     * Returns the order in which the hosts of the fleet and failure domain switch.
     *
     * @param spec row of the fleet
     * @param members all known hosts
     * @return hosts, first to switch first
     */
    private List<HostId> order(FleetSpec spec, List<Member> members) {
        List<HostId> hosts =
                members.stream()
                        .filter(m -> m.record().role() == HostRole.AGENT)
                        .filter(m -> m.record().fleet().equals(spec.fleet().value()))
                        .filter(m -> m.record().domain().equals(node.self().domain()))
                        .map(Member::host)
                        .toList();
        return RendezvousHash.order(hosts, "rollout/" + spec.fleet());
    }

    /**
     * Advances the rollout.
     *
     * @param spec row of the fleet in force
     * @param upstream what the engine last reported
     * @param now present time
     */
    public void advance(FleetSpec spec, UpstreamState upstream, Instant now) {
        if (spec.kind() == UpstreamKind.SERVICE) {
            publish(RolloutStep.SERVING, "");
            return;
        }
        if (!spec.digest().equals(target)) {
            retarget(spec.digest());
        }
        checkIncarnation(upstream);
        if (busy || now.isBefore(pausedUntil)) {
            return;
        }
        if (!upstream.healthy(now)) {
            publish(RolloutStep.UNKNOWN, "the engine does not answer");
            return;
        }
        if (upstream.serving().equals(target)) {
            door.resume();
            publish(RolloutStep.SERVING, "");
            return;
        }
        swarm.want(target);
        WeightProgress progress = swarm.progress();
        if (!progress.digest().equals(target) || !progress.staged()) {
            publish(RolloutStep.FETCHING, progress.remark());
            return;
        }
        if (!sealed) {
            publish(RolloutStep.FETCHING, "sealing");
            seal();
            return;
        }
        if (step != RolloutStep.SWITCHING && !mayStart(spec, now)) {
            publish(RolloutStep.STAGED, "waits for its turn in the rollout");
            return;
        }
        publish(RolloutStep.SWITCHING, "");
        if (door.pauseAndCountRunning() == 0) {
            changeVersion(upstream.serving());
        }
    }

    /**
     * Turns to another version.
     *
     * @param digest digest of the wanted version
     */
    private void retarget(Digest digest) {
        target = digest;
        sealed = false;
        pausedUntil = Instant.MIN;
        if (step == RolloutStep.SWITCHING) {
            door.resume();
        }
        publish(RolloutStep.FETCHING, "");
    }

    /**
     * Starts over if the engine has lost what was written to it.
     *
     * @param upstream what the engine last reported
     */
    private void checkIncarnation(UpstreamState upstream) {
        if (upstream.incarnation() == engineIncarnation) {
            return;
        }
        if (engineIncarnation != 0) {
            sealed = false;
            swarm.engineRestarted();
        }
        engineIncarnation = upstream.incarnation();
    }

    /**
     * Tells whether the host may start to switch.
     *
     * @param spec row of the fleet
     * @param now present time
     * @return true if it is its turn
     */
    private boolean mayStart(FleetSpec spec, Instant now) {
        List<Member> members = node.members();
        Map<HostId, Member> byHost = new HashMap<>();
        members.forEach(m -> byHost.put(m.host(), m));
        List<HostId> predecessors =
                gate.predecessors(node.self().host(), order(spec, members), spec.maxUnavailable());
        return gate.maySwitch(predecessors, byHost, target, sealedAt, now);
    }

    /** Lets the engine compute the digest of the staged weights and compares it. */
    private void seal() {
        busy = true;
        Digest digest = target;
        swarm.manifest(
                digest,
                manifest ->
                        node.blockingExecutor()
                                .execute(
                                        () -> {
                                            Either<Fault, Digest> whole = engine.seal(digest);
                                            node.controlThread()
                                                    .execute(() -> sealed(digest, manifest, whole));
                                        }));
    }

    /**
     * Takes the digest that the engine computed.
     *
     * @param digest digest of the manifest
     * @param manifest manifest, or empty
     * @param whole digest of the whole weights, or a fault
     */
    private void sealed(
            Digest digest, Optional<FoundManifest> manifest, Either<Fault, Digest> whole) {
        busy = false;
        if (!digest.equals(target)) {
            return;
        }
        boolean right =
                whole.isRight()
                        && manifest.map(m -> m.manifest().whole().equals(whole.get()))
                                .orElse(false);
        if (right) {
            sealed = true;
            sealedAt = node.clock().instant();
            publish(RolloutStep.STAGED, "");
            return;
        }
        Object reason = whole.isLeft() ? whole.getLeft() : "the whole digest differs";
        retryLater("seal", reason);
        swarm.engineRestarted();
    }

    /**
     * Orders the engine to switch, under a lease.
     *
     * @param serving version that the engine reported last
     */
    private void changeVersion(Digest serving) {
        busy = true;
        Digest digest = target;
        node.blockingExecutor()
                .execute(
                        () -> {
                            Either<Fault, EngineStatus> result =
                                    leases.acquire()
                                            .flatMap(lease -> order(lease, serving, digest));
                            node.controlThread().execute(() -> changed(digest, result));
                        });
    }

    /**
     * Sends the order if the lease still holds.
     *
     * @param lease lease
     * @param serving version that the engine must still serve
     * @param digest version to switch to
     * @return the engine's report, or a fault
     */
    private Either<Fault, EngineStatus> order(
            LeaseKeeper.Lease lease, Digest serving, Digest digest) {
        SwitchOrder order = new SwitchOrder(serving, digest, lease.fencingNumber(), lease.expiry());
        if (!order.maySend(node.clock().instant())) {
            return Either.left(
                    new Fault(
                            FaultKind.REFUSED,
                            "switch",
                            node.self().host().value(),
                            "the lease lapsed before the order was sent"));
        }
        Either<Fault, EngineStatus> result = engine.switchVersion(order);
        // A lost answer is resolved by what the engine reports afterwards.
        return result.isRight() ? result : engine.status();
    }

    /**
     * Takes the engine's report after an order.
     *
     * @param digest version of the order
     * @param result report, or a fault
     */
    private void changed(Digest digest, Either<Fault, EngineStatus> result) {
        busy = false;
        if (result.isRight() && result.get().serving().equals(digest)) {
            door.report(
                    new UpstreamState(result.get().incarnation(), digest, node.clock().instant()));
            door.resume();
            if (digest.equals(target)) {
                publish(RolloutStep.SERVING, "");
            }
            Event.named("version-switched").with("digest", digest.shortText()).info();
            return;
        }
        door.resume();
        Object reason =
                result.isLeft()
                        ? result.getLeft()
                        : "the engine reports " + result.get().serving().shortText();
        publish(RolloutStep.STAGED, "switch failed: " + reason);
        retryLater("switch", reason);
    }

    /**
     * Notes a failure and pauses.
     *
     * @param what step that failed
     * @param reason why
     */
    private void retryLater(String what, Object reason) {
        pausedUntil = node.clock().instant().plus(RETRY_PAUSE);
        remark = what + " failed: " + reason;
        Event.named("rollout-failed").with("step", what).with("reason", reason).warn();
    }

    /**
     * Publishes the step, and tells the neighbours if it changed.
     *
     * @param now step
     * @param text what keeps the host back
     */
    private void publish(RolloutStep now, String text) {
        boolean news = step != now;
        step = now;
        remark = text;
        if (news) {
            node.sendHeartbeatsNow();
        }
    }
}
