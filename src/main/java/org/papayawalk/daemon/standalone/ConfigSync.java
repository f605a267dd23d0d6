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
 * Decides when this daemon reads the configuration from the table service, and puts received
 * configurations in force. Two elected pollers per failure domain read at every check. Other
 * daemons receive configurations from peers; they read themselves if no peer has reported within 3
 * s, and at least every 60 s in case no peer passes on a new configuration. Not thread-safe:
 * confined to the control thread.
 */
final class ConfigSync {
    private static final Duration PEER_SILENCE_LIMIT = Duration.ofSeconds(3);

    private static final Duration MAX_READ_INTERVAL = Duration.ofSeconds(60);

    private final HostRecord self;

    private final ConfigReader configReader;

    private final ActiveConfiguration activeConfiguration;

    private final ControlThread controlThread;

    private final Executor blockingExecutor;

    private final Runnable onAdopted;

    private final PollerElection pollerElection = new PollerElection();

    private boolean readInProgress;

    // Start time of the last read that succeeded.
    private Instant lastSuccessfulReadAt = Instant.MIN;

    /**
     * Creates a synchronization that has not read anything yet.
     *
     * @param self host record of this daemon
     * @param configReader reader of the table service
     * @param activeConfiguration configuration in force
     * @param controlThread control thread
     * @param blockingExecutor threads for blocking calls
     * @param onAdopted callback after a configuration was put in force, on the control thread
     */
    ConfigSync(
            HostRecord self,
            ConfigReader configReader,
            ActiveConfiguration activeConfiguration,
            ControlThread controlThread,
            Executor blockingExecutor,
            Runnable onAdopted) {
        this.self = self;
        this.configReader = configReader;
        this.activeConfiguration = activeConfiguration;
        this.controlThread = controlThread;
        this.blockingExecutor = blockingExecutor;
        this.onAdopted = onAdopted;
    }

    /**
     * Starts to read the table service if a read is due and none is in progress.
     *
     * @param members all known hosts
     * @param now present time
     */
    void poll(List<Member> members, Instant now) {
        if (readInProgress || !isReadDue(members, now)) {
            return;
        }
        readInProgress = true;
        blockingExecutor.execute(
                () -> {
                    var result = configReader.readIfNewer(activeConfiguration.current().version());
                    controlThread.execute(
                            () -> {
                                readInProgress = false;
                                result.peek(
                                                c -> {
                                                    lastSuccessfulReadAt = now;
                                                    adopt(c, "table");
                                                })
                                        .peekLeft(f -> logReadFailure(f.toString()));
                            });
                });
    }

    /**
     * Puts a configuration in force if its version is higher than that of the present one.
     *
     * @param configuration received configuration
     * @param source {@code table} or the name or address of the sending peer, for the log
     */
    void adopt(Configuration configuration, String source) {
        if (!activeConfiguration.adoptIfLater(configuration)) {
            return;
        }
        Event.named("config-adopted")
                .with("version", configuration.version())
                .with("source", source)
                .with("fleets", configuration.fleets().size())
                .info();
        onAdopted.run();
    }

    private boolean isReadDue(List<Member> members, Instant now) {
        if (lastSuccessfulReadAt.plus(MAX_READ_INTERVAL).isBefore(now)) {
            return true;
        }
        boolean noPeerReported = true;
        for (Member m : members) {
            boolean recent =
                    m.report().isPresent()
                            && m.report().get().receivedAt().plus(PEER_SILENCE_LIMIT).isAfter(now);
            noPeerReported &= m.host().equals(self.host()) || !recent;
        }
        if (noPeerReported) {
            return true;
        }
        List<HostId> domainHosts =
                members.stream()
                        .filter(m -> m.record().domain().equals(self.domain()))
                        .filter(m -> m.host().equals(self.host()) || m.presumedAlive(now))
                        .map(Member::host)
                        .toList();
        return pollerElection.isPoller(self.host(), domainHosts);
    }

    private static void logReadFailure(String fault) {
        Event.named("config-read-failed").with("fault", fault).warn();
    }
}
