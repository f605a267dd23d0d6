package org.papayawalk.core.suspect;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;

/** Upstream of an emulation, whose processes follow each other. Not thread-safe. */
final class PartsUpstream {
    /** Domain of the upstream. */
    final int domain;

    /** Present process, or the last one. */
    UpstreamProcess process;

    /** Whether the process runs. */
    boolean running = true;

    /** Attempts that hold slots. */
    List<Attempt> attempts = new ArrayList<>();

    /**
     * Creates an upstream that runs.
     *
     * @param index number of the upstream
     */
    PartsUpstream(int index) {
        domain = index % PartsScenario.DOMAINS;
        process = new UpstreamProcess(new UpstreamId("i-" + index), 1);
    }

    /**
     * Returns whether it takes a request.
     *
     * @return false if it is down or all its slots are in use
     */
    boolean hasRoom() {
        return running && attempts.size() < PartsScenario.SLOTS;
    }

    /**
     * Starts the next process.
     *
     * @param sameId whether it keeps the id
     */
    void start(boolean sameId) {
        String id = process.id().value();
        long incarnation = process.incarnation() + 1;
        process =
                sameId
                        ? new UpstreamProcess(process.id(), incarnation)
                        : new UpstreamProcess(new UpstreamId(id + "n"), incarnation);
        running = true;
    }

    /** One attempt at a request. */
    static final class Attempt {
        /** Request. */
        final PartsRequest request;

        /** Entry that sent it. */
        final PartsEntry entry;

        /** Process that got it. */
        final UpstreamProcess process;

        /** Whether the process has ended before the answer was complete. */
        boolean lost;

        /** When the answer began by the clock of the entry; null if it does not know of it. */
        Instant begunAt;

        /**
         * Creates an attempt.
         *
         * @param request request
         * @param entry entry that sent it
         * @param process process that got it
         */
        Attempt(PartsRequest request, PartsEntry entry, UpstreamProcess process) {
            this.request = request;
            this.entry = entry;
            this.process = process;
        }
    }
}
