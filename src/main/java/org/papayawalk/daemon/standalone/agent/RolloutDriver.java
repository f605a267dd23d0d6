package org.papayawalk.daemon.standalone.agent;

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
import org.papayawalk.core.rollout.SwitchCommand;
import org.papayawalk.core.rollout.WaveGate;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.swarm.DownloadProgress;
import org.papayawalk.daemon.swarm.Swarm;
import org.papayawalk.daemon.swarm.VerifiedManifest;
import org.papayawalk.log.Event;

/**
 * Moves a host from the version that its engine reports to the version that the configuration
 * wants. The steps are: fetch and stage the weights, seal them, wait until the preceding hosts of
 * the rollout have switched, pause the gateway until no request is in flight, switch the engine,
 * check the version that it reports, and resume the gateway.
 *
 * <p>Not thread-safe: confined to the control thread, except that {@link #step()} and {@link
 * #delayReason()} are safe from any thread.
 */
public final class RolloutDriver {
    /** Delay after a failed step before the next attempt. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final Node node;

    private final Engine engine;

    private final Swarm swarm;

    private final UpstreamGateway gateway;

    private final LeaseManager leases;

    private final WaveGate waveGate = new WaveGate();

    /** Version that the fields below belong to. */
    private Digest target = Digest.NONE;

    /** Whether the engine has sealed the target and its digest was correct. */
    private boolean sealed;

    private Instant sealedAt = Instant.MIN;

    /** Whether a call to the engine or to the table service is in progress. */
    private boolean callInProgress;

    /** Time before which no step is attempted. */
    private Instant retryAt = Instant.MIN;

    /** Incarnation of the engine that took the staged chunks, 0 before its first report. */
    private long engineIncarnation;

    private volatile RolloutStep step = RolloutStep.UNKNOWN;

    private volatile String delayReason = "";

    /**
     * Creates a driver without a target.
     *
     * @param node services shared by the parts of the daemon
     * @param engine engine of this host
     * @param swarm fetches and stages the weights
     * @param gateway gateway for requests to the engine
     * @param leases acquires the lease for switch commands
     */
    public RolloutDriver(
            Node node, Engine engine, Swarm swarm, UpstreamGateway gateway, LeaseManager leases) {
        this.node = node;
        this.engine = engine;
        this.swarm = swarm;
        this.gateway = gateway;
        this.leases = leases;
    }

    /**
     * Returns the step of this host in the rollout.
     *
     * @return step as last published
     */
    public RolloutStep step() {
        return step;
    }

    /**
     * Returns why the host does not serve the wanted version yet.
     *
     * @return text for operators, empty if there is no reason to report
     */
    public String delayReason() {
        return delayReason;
    }

    /**
     * Returns the hosts in this host's chain of the rollout with which it exchanges heartbeats.
     *
     * @param spec row of the fleet
     * @param members all known hosts
     * @return predecessors and successor, a bounded number
     */
    public List<HostId> chainNeighbors(FleetSpec spec, List<Member> members) {
        List<HostId> sequence = switchSequence(spec, members);
        HostId self = node.self().host();
        List<HostId> chain =
                new ArrayList<>(waveGate.predecessors(self, sequence, spec.maxUnavailable()));
        waveGate.successor(self, sequence, spec.maxUnavailable()).ifPresent(chain::add);
        return chain;
    }

    // Returns the agents of the fleet and failure domain in the order in which they switch.
    private List<HostId> switchSequence(FleetSpec spec, List<Member> members) {
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
     * Starts the next step if it is possible now. Does nothing while a call is in progress or a
     * retry is delayed.
     *
     * @param spec row of the fleet in the configuration in force
     * @param upstream last health report of the engine
     * @param now present time
     */
    public void advance(FleetSpec spec, UpstreamState upstream, Instant now) {
        if (spec.kind() == UpstreamKind.SERVICE) {
            publish(RolloutStep.SERVING, "");
            return;
        }
        if (!spec.digest().equals(target)) {
            setTarget(spec.digest());
        }
        detectEngineRestart(upstream);
        if (callInProgress || now.isBefore(retryAt)) {
            return;
        }
        if (!upstream.isHealthy(now)) {
            publish(RolloutStep.UNKNOWN, "the engine did not answer its recent health probes");
            return;
        }
        if (upstream.serving().equals(target)) {
            gateway.resume();
            publish(RolloutStep.SERVING, "");
            return;
        }
        swarm.setWantedVersion(target);
        DownloadProgress progress = swarm.progress();
        if (!progress.digest().equals(target) || !progress.staged()) {
            publish(RolloutStep.FETCHING, progress.delayReason());
            return;
        }
        if (!sealed) {
            publish(RolloutStep.FETCHING, "sealing");
            seal();
            return;
        }
        if (step != RolloutStep.SWITCHING && !maySwitch(spec, now)) {
            publish(RolloutStep.STAGED, "waiting for the preceding hosts of the rollout to switch");
            return;
        }
        publish(RolloutStep.SWITCHING, "");
        if (gateway.pauseAndCountRunning() == 0) {
            switchVersion(upstream.serving());
        }
    }

    private void setTarget(Digest digest) {
        target = digest;
        sealed = false;
        retryAt = Instant.MIN;
        if (step == RolloutStep.SWITCHING) {
            gateway.resume();
        }
        publish(RolloutStep.FETCHING, "");
    }

    // A restarted engine has lost its staged chunks and must seal again.
    private void detectEngineRestart(UpstreamState upstream) {
        if (upstream.incarnation() == engineIncarnation) {
            return;
        }
        if (engineIncarnation != 0) {
            sealed = false;
            swarm.restage();
        }
        engineIncarnation = upstream.incarnation();
    }

    // Returns whether the preceding hosts in the chain allow this host to switch.
    private boolean maySwitch(FleetSpec spec, Instant now) {
        List<Member> members = node.members();
        Map<HostId, Member> byHost = new HashMap<>();
        members.forEach(m -> byHost.put(m.host(), m));
        List<HostId> predecessors =
                waveGate.predecessors(
                        node.self().host(), switchSequence(spec, members), spec.maxUnavailable());
        return waveGate.maySwitch(predecessors, byHost, target, sealedAt, now);
    }

    // Lets the engine compute the digest of the staged weights.
    private void seal() {
        callInProgress = true;
        Digest digest = target;
        swarm.manifest(
                digest,
                manifest ->
                        node.blockingExecutor()
                                .execute(
                                        () -> {
                                            Either<Fault, Digest> computed = engine.seal(digest);
                                            node.controlThread()
                                                    .execute(
                                                            () ->
                                                                    sealed(
                                                                            digest, manifest,
                                                                            computed));
                                        }));
    }

    // Compares the digest computed by the engine with the manifest. Runs on the control thread.
    private void sealed(
            Digest digest, Optional<VerifiedManifest> manifest, Either<Fault, Digest> computed) {
        callInProgress = false;
        if (!digest.equals(target)) {
            return;
        }
        boolean matches =
                computed.isRight()
                        && manifest.map(m -> m.manifest().whole().equals(computed.get()))
                                .orElse(false);
        if (matches) {
            sealed = true;
            sealedAt = node.clock().instant();
            publish(RolloutStep.STAGED, "");
            return;
        }
        Object reason =
                computed.isLeft()
                        ? computed.getLeft()
                        : "the engine computed digest "
                                + computed.get().shortText()
                                + " for the staged weights, which differs from the manifest";
        retryLater("seal", reason);
        swarm.restage();
    }

    // Sends a switch command under a new lease.
    private void switchVersion(Digest serving) {
        callInProgress = true;
        Digest digest = target;
        node.blockingExecutor()
                .execute(
                        () -> {
                            Either<Fault, EngineStatus> result =
                                    leases.acquire()
                                            .flatMap(
                                                    lease ->
                                                            sendSwitchCommand(
                                                                    lease, serving, digest));
                            node.controlThread().execute(() -> onSwitched(digest, result));
                        });
    }

    // Sends the command if the lease has not expired. Returns the status of the engine afterwards.
    private Either<Fault, EngineStatus> sendSwitchCommand(
            LeaseManager.Lease lease, Digest serving, Digest digest) {
        SwitchCommand command =
                new SwitchCommand(serving, digest, lease.fencingNumber(), lease.expiry());
        if (!command.maySend(node.clock().instant())) {
            return Either.left(
                    new Fault(
                            FaultKind.REFUSED,
                            "switch",
                            node.self().host().value(),
                            "the lease expired before the switch command was sent"));
        }
        Either<Fault, EngineStatus> result = engine.switchVersion(command);
        // If the response is lost, the status that the engine reports afterwards decides.
        return result.isRight() ? result : engine.status();
    }

    // Checks the version that the engine reports after the command. Runs on the control thread.
    private void onSwitched(Digest digest, Either<Fault, EngineStatus> result) {
        callInProgress = false;
        if (result.isRight() && result.get().serving().equals(digest)) {
            gateway.recordState(
                    new UpstreamState(result.get().incarnation(), digest, node.clock().instant()));
            gateway.resume();
            if (digest.equals(target)) {
                publish(RolloutStep.SERVING, "");
            }
            Event.named("version-switched").with("digest", digest.shortText()).info();
            return;
        }
        gateway.resume();
        Object reason =
                result.isLeft()
                        ? result.getLeft()
                        : "the engine reports version " + result.get().serving().shortText();
        publish(RolloutStep.STAGED, "switch failed: " + reason);
        retryLater("switch", reason);
    }

    private void retryLater(String failedStep, Object reason) {
        retryAt = node.clock().instant().plus(RETRY_DELAY);
        delayReason = failedStep + " failed: " + reason;
        Event.named("rollout-failed").with("step", failedStep).with("reason", reason).warn();
    }

    // Sends a heartbeat to the neighbors at once if the step has changed.
    private void publish(RolloutStep newStep, String reason) {
        boolean changed = step != newStep;
        step = newStep;
        delayReason = reason;
        if (changed) {
            node.sendHeartbeatsNow();
        }
    }
}
