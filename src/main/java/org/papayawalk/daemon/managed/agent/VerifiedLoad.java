package org.papayawalk.daemon.managed.agent;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.IntFunction;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.StagedVerification;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.log.Event;

/**
 * Verifies what is staged and orders the engine to load it, but only if the whole verification is
 * recent and the engine was neither restarted nor given an order meanwhile. Calls block; not
 * thread-safe, so at most one worker may use it at a time.
 */
final class VerifiedLoad {
    private final LocalEngine engine;

    private final StagedChunkVerifier verifier;

    private final EngineAnnouncer announcer;

    private final InstantSource clock;

    private final InstantSource timeOfDay;

    /**
     * Creates a sender of orders.
     *
     * @param engine engine beside this process
     * @param announcer tells entries of the engine's loads
     * @param clock monotonic clock
     * @param timeOfDay clock that also counts the time for which the machine is suspended
     */
    VerifiedLoad(
            LocalEngine engine,
            EngineAnnouncer announcer,
            InstantSource clock,
            InstantSource timeOfDay) {
        this.engine = engine;
        this.verifier = new StagedChunkVerifier(engine);
        this.announcer = announcer;
        this.clock = clock;
        this.timeOfDay = timeOfDay;
    }

    /**
     * Verifies a staged version and orders the engine to load it. Staging has to be stopped.
     *
     * @param staged version
     * @param copies verified chunks for repairs, by index; empty where this host has none
     * @param basis report that the order is based on
     * @param mayOrder whether to send the order, or only verify and repair what is staged
     * @return outcome
     */
    LoadOutcome verifyAndOrder(
            StagedVersion staged,
            IntFunction<Optional<byte[]>> copies,
            EngineReport basis,
            boolean mayOrder) {
        StagedVerification verification =
                new StagedVerification(basis, clock.instant(), timeOfDay.instant());
        if (engine.hasOpenWrites(staged.manifest())) {
            return LoadOutcome.OUTDATED;
        }
        if (!verifier.verify(staged, copies)) {
            return LoadOutcome.UNVERIFIED;
        }
        if (!mayOrder) {
            return LoadOutcome.VERIFIED;
        }
        Either<Fault, EngineReport> latest = engine.report();
        announcer.loadOrdered(staged.version(), basis, clock.instant());
        // Nothing may come between this check and the order.
        boolean allowed =
                latest.isRight()
                        && verification.allowsOrder(
                                latest.get(), clock.instant(), timeOfDay.instant());
        if (allowed) {
            return order(staged.version(), basis);
        }
        Event.named("verification-outdated")
                .with("version", staged.version())
                .with("orders_seen", basis.orders())
                .with("report", latest.fold(Fault::toString, EngineReport::toString))
                .warn();
        return LoadOutcome.OUTDATED;
    }

    private LoadOutcome order(WeightVersion version, EngineReport basis) {
        Either<Fault, Boolean> accepted = engine.load(version, basis.orders());
        Event.named("load-ordered")
                .with("version", version)
                .with("orders_seen", basis.orders())
                .with("outcome", accepted.fold(Fault::toString, t -> "taken=" + t))
                .info();
        if (accepted.isLeft() && accepted.getLeft().kind() == FaultKind.UNKNOWN_OUTCOME) {
            return LoadOutcome.UNANSWERED;
        }
        return accepted.getOrElse(false) ? LoadOutcome.ACCEPTED : LoadOutcome.REFUSED;
    }
}
