package org.papayawalk.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the memory of the request bodies that a process holds at the same time. Answers the load
 * of many callers that send long bodies at once: those that find no room wait in the order of their
 * arrival, while short bodies have a part of the memory to themselves and never wait. Not
 * thread-safe: confined to one thread.
 */
public final class BodyAdmission {
    /** Longest body that counts as short, in bytes. */
    public static final long SHORT_BODY_BYTES = 64 * 1024;

    /** Long bodies that may wait for room. */
    static final int MAX_WAITING = 64;

    /** Part of the memory that only short bodies use. */
    private static final double SHORT_BODY_PART = 0.25;

    private final long maxBytes;

    private final long maxLongBytes;

    private long heldBytes;

    private long heldLongBytes;

    /** Long bodies without room, the first one first. */
    private final Deque<Ticket> waiting = new ArrayDeque<>();

    /** What became of a body that asked for room. */
    public enum Decision {
        /** It has room and may be received. */
        ADMITTED,
        /** It has no room yet and may not be received. */
        WAITING,
        /** It gets no room. */
        REFUSED
    }

    /** Room of one body. */
    public static final class Ticket {
        private final Runnable onAdmitted;

        private Decision decision;

        /** Room held, or asked for while the body waits. */
        private long bytes;

        private Ticket(Decision decision, long bytes, Runnable onAdmitted) {
            this.decision = decision;
            this.bytes = bytes;
            this.onAdmitted = onAdmitted;
        }

        /**
         * Returns what became of the body.
         *
         * @return decision, changes while the body waits
         */
        public Decision decision() {
            return decision;
        }

        private boolean isLong() {
            return bytes > SHORT_BODY_BYTES;
        }
    }

    /**
     * Creates an admission of which nothing is held.
     *
     * @param maxBytes bound of the sum of all admitted bodies, in bytes
     */
    public BodyAdmission(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxLongBytes = (long) (maxBytes * (1 - SHORT_BODY_PART));
    }

    /**
     * Returns whether a body can ever be admitted.
     *
     * @param bytes length of the body
     * @return false if it is longer than the room of all long bodies
     */
    public boolean fits(long bytes) {
        return bytes <= maxLongBytes;
    }

    /**
     * Asks for room for a body.
     *
     * @param bytes length of the body, 0 if it is not known; it may be grown
     * @param onAdmitted called when a body that had to wait is admitted
     * @return ticket, to be released
     */
    public Ticket request(long bytes, Runnable onAdmitted) {
        Ticket ticket = new Ticket(Decision.REFUSED, bytes, onAdmitted);
        boolean first = !ticket.isLong() || waiting.isEmpty();
        if (first && hasRoom(bytes, ticket.isLong())) {
            hold(ticket);
        } else if (ticket.isLong() && fits(bytes) && waiting.size() < MAX_WAITING) {
            ticket.decision = Decision.WAITING;
            waiting.addLast(ticket);
        }
        return ticket;
    }

    /**
     * Extends the room of an admitted body whose length was not known.
     *
     * @param ticket ticket of an admitted body
     * @param bytes length that it needs now
     * @return false if there is no room; the body then keeps what it had
     */
    public boolean grow(Ticket ticket, long bytes) {
        long before = ticket.bytes;
        if (bytes <= before) {
            return true;
        }
        drop(ticket);
        boolean grows = hasRoom(bytes, bytes > SHORT_BODY_BYTES);
        ticket.bytes = grows ? bytes : before;
        hold(ticket);
        return grows;
    }

    /**
     * Admits a waiting body that was received as a whole nevertheless.
     *
     * @param ticket ticket; no effect unless the body waits
     */
    public void admitReceived(Ticket ticket) {
        if (waiting.remove(ticket)) {
            hold(ticket);
        }
    }

    /**
     * Gives room back, or ends the wait for it. Admits the bodies that have room now.
     *
     * @param ticket ticket; no effect if it was released before
     */
    public void release(Ticket ticket) {
        if (ticket.decision == Decision.WAITING) {
            waiting.remove(ticket);
        } else if (ticket.decision == Decision.ADMITTED) {
            drop(ticket);
        }
        ticket.decision = Decision.REFUSED;
        while (!waiting.isEmpty() && hasRoom(waiting.getFirst().bytes, true)) {
            Ticket next = waiting.removeFirst();
            hold(next);
            next.onAdmitted.run();
        }
    }

    /**
     * Returns the memory of the admitted bodies.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    private boolean hasRoom(long bytes, boolean isLong) {
        return heldBytes + bytes <= maxBytes && (!isLong || heldLongBytes + bytes <= maxLongBytes);
    }

    private void hold(Ticket ticket) {
        ticket.decision = Decision.ADMITTED;
        heldBytes += ticket.bytes;
        heldLongBytes += ticket.isLong() ? ticket.bytes : 0;
    }

    private void drop(Ticket ticket) {
        heldBytes -= ticket.bytes;
        heldLongBytes -= ticket.isLong() ? ticket.bytes : 0;
    }
}
