package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.papayawalk.log.Event;

/**
 * Open connections of callers, in the order in which they last made progress. Answers the load of
 * callers that open very many connections, or stop in the middle of their requests: when
 * descriptors or memory run short, the connection that is longest without progress is given up
 * first, and never one whose request is at work. Confined to the event loop thread.
 */
final class CallerConnections {
    /** Requests that may wait behind others on their connections, on all of them together. */
    private static final int MAX_PIPELINED = 1024;

    /** Time without progress after which a body is given up for another one. */
    private static final Duration STALLED = Duration.ofSeconds(1);

    /** Connections that are looked at when one has to be given up. */
    private static final int MAX_LOOKED_AT = 256;

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private final int max;

    private final Set<CallerHandler> connections = new LinkedHashSet<>();

    private int pipelined;

    /** Connections given up since the last line of the log. */
    private int shed;

    private Instant loggedAt = Instant.MIN;

    /**
     * Creates a set without connections.
     *
     * @param max connections that may be open at the same time
     */
    CallerConnections(int max) {
        this.max = max;
    }

    /**
     * Adds a connection that was opened. If there are too many, gives another one up.
     *
     * @param connection connection
     * @param now present time
     */
    void opened(CallerHandler connection, Instant now) {
        connections.add(connection);
        if (connections.size() > max && !shedFirst(CallerHandler::isIdleOrReceiving, now)) {
            connection.shed();
        }
    }

    /**
     * Records that a connection made progress.
     *
     * @param connection connection
     */
    void progressed(CallerHandler connection) {
        if (connections.remove(connection)) {
            connections.add(connection);
        }
    }

    /**
     * Removes a connection that has closed.
     *
     * @param connection connection
     */
    void closed(CallerHandler connection) {
        connections.remove(connection);
    }

    /**
     * Gives up a request whose body has stopped, so that another one gets its memory.
     *
     * @param now present time
     * @return false if no body has stopped
     */
    boolean shedStalledBody(Instant now) {
        Instant stalledSince = now.minus(STALLED);
        return shedFirst(c -> c.isReceivingSince(stalledSince), now);
    }

    /**
     * Returns the open connections.
     *
     * @return copy of the set
     */
    Set<CallerHandler> all() {
        return Set.copyOf(connections);
    }

    /**
     * Records that a request begins or ends to wait behind another one on its connection.
     *
     * @param change 1 or -1
     */
    void pipelined(int change) {
        pipelined += change;
    }

    /**
     * Returns whether a further request may wait behind another one.
     *
     * @return false while too many do on all connections together
     */
    boolean allowsPipelining() {
        return pipelined < MAX_PIPELINED;
    }

    private boolean shedFirst(Predicate<CallerHandler> sheddable, Instant now) {
        int lookedAt = 0;
        CallerHandler found = null;
        Iterator<CallerHandler> oldest = connections.iterator();
        while (found == null && oldest.hasNext() && lookedAt < MAX_LOOKED_AT) {
            CallerHandler c = oldest.next();
            found = sheddable.test(c) ? c : null;
            lookedAt++;
        }
        if (found == null) {
            return false;
        }
        connections.remove(found);
        found.shed();
        log(now);
        return true;
    }

    private void log(Instant now) {
        shed++;
        if (!loggedAt.plus(LOG_INTERVAL).isAfter(now)) {
            Event.named("callers-shed").with("count", shed).with("open", connections.size()).warn();
            loggedAt = now;
            shed = 0;
        }
    }
}
