package org.papayawalk.daemon.standalone;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Executor;
import org.papayawalk.core.config.ActiveConfiguration;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.member.PollerElection;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;

/**
 * Decides when this daemon reads the configuration from the table service, and adopts what arrives.
 * Two daemons of a failure domain read often; the others read when no peer was heard for a while,
 * and now and then to be sure. Not thread-safe: confined to the control thread.
 */
final class ConfigSync {
    /** Silence of all peers after which a daemon reads for itself. */
    private static final Duration ALONE_AFTER = Duration.ofSeconds(3);

    /** Longest time between reads of any daemon. */
    private static final Duration SAFETY_INTERVAL = Duration.ofSeconds(60);

    /** Node's own line of the host list. */
    private final HostRecord self;

    /** Reads the table service. */
    private final ConfigReader store;

    /** Configuration in force. */
    private final ActiveConfiguration adoption;

    /** Control thread. */
    private final ControlThread control;

    /** Threads for calls that block. */
    private final Executor work;

    /** Runs after a configuration was adopted. */
    private final Runnable adopted;

    /** Names the pollers. */
    private final PollerElection election = new PollerElection();

    /** Whether a read is under way. */
    private boolean reading;

    /** When the last read ended well. */
    private Instant lastRead = Instant.MIN;

    /**
     * Creates the synchronization.
     *
     * @param self node's own line of the host list
     * @param store reads the table service
     * @param adoption configuration in force
     * @param control control thread
     * @param work threads for calls that block
     * @param adopted runs on the control thread after a configuration was adopted
     */
    ConfigSync(
            HostRecord self,
            ConfigReader store,
            ActiveConfiguration adoption,
            ControlThread control,
            Executor work,
            Runnable adopted) {
        this.self = self;
        this.store = store;
        this.adoption = adoption;
        this.control = control;
        this.work = work;
        this.adopted = adopted;
    }

    /**
     * Reads the table service if it is this daemon's turn.
     *
     * @param members all known hosts
     * @param now present time
     */
    void poll(List<Member> members, Instant now) {
        if (reading || !due(members, now)) {
            return;
        }
        reading = true;
        work.execute(
                () -> {
                    var result = store.readLater(adoption.current().version());
                    control.run(
                            () -> {
                                reading = false;
                                result.peek(
                                                c -> {
                                                    lastRead = now;
                                                    take(c, "table");
                                                })
                                        .peekLeft(f -> log(f.toString()));
                            });
                });
    }

    /**
     * Adopts a configuration if it is later.
     *
     * @param configuration configuration that arrived
     * @param source where it came from, for the log
     */
    void take(Configuration configuration, String source) {
        if (!adoption.adoptIfLater(configuration)) {
            return;
        }
        Event.named("config-adopted")
                .with("version", configuration.version())
                .with("source", source)
                .with("fleets", configuration.fleets().size())
                .info();
        adopted.run();
    }

    /**
     * Tells whether this daemon is to read now.
     *
     * @param members all known hosts
     * @param now present time
     * @return true if it is a poller, hears nobody, or has not read for long
     */
    private boolean due(List<Member> members, Instant now) {
        if (lastRead.plus(SAFETY_INTERVAL).isBefore(now)) {
            return true;
        }
        boolean alone = true;
        for (Member m : members) {
            boolean recent =
                    m.report().isPresent()
                            && m.report().get().receivedAt().plus(ALONE_AFTER).isAfter(now);
            alone &= m.host().equals(self.host()) || !recent;
        }
        if (alone) {
            return true;
        }
        List<HostId> domainHosts =
                members.stream()
                        .filter(m -> m.record().domain().equals(self.domain()))
                        .filter(m -> m.host().equals(self.host()) || m.presumedAlive(now))
                        .map(Member::host)
                        .toList();
        return election.isPoller(self.host(), domainHosts);
    }

    /**
     * Logs a failed read.
     *
     * @param fault what happened
     */
    private static void log(String fault) {
        Event.named("config-read-failed").with("fault", fault).warn();
    }
}
