package org.papayawalk.core.suspect;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.papayawalk.core.id.PromptPartId;

/**
 * Sound requests of several kinds, which share the part of their kind, parts of teams and
 * documents, and parts of sessions that a few requests have in common. Not thread-safe.
 */
final class PartsTraffic {
    private static final int TEAMS = 5;

    private static final int DOCUMENTS = 20;

    private static final int SESSIONS = 10;

    private static final int CALLERS = 4;

    private final SplittableRandom random;

    private final int kinds;

    // Number of the present session by kind and place.
    private final int[][] sessions;

    private int sessionCount;

    /**
     * Creates traffic.
     *
     * @param kinds number of kinds of requests
     * @param random source of choices
     */
    PartsTraffic(int kinds, SplittableRandom random) {
        this.kinds = kinds;
        this.random = random;
        sessions = new int[kinds][SESSIONS];
    }

    /**
     * Returns a request of any kind.
     *
     * @return request
     */
    PartsRequest next() {
        return next(random.nextInt(kinds));
    }

    /**
     * Returns a request.
     *
     * @param kind kind
     * @return request with one to four parts that others may share
     */
    PartsRequest next(int kind) {
        List<PromptPartId> parts = new ArrayList<>();
        parts.add(new PromptPartId("kind-" + kind));
        if (random.nextInt(2) == 0) {
            parts.add(new PromptPartId("team-" + kind + "-" + random.nextInt(TEAMS)));
        }
        if (random.nextInt(2) == 0) {
            parts.add(document(kind, random.nextInt(DOCUMENTS)));
        }
        if (random.nextInt(3) > 0) {
            parts.add(session(kind));
        }
        return new PartsRequest(kind, caller(kind), List.copyOf(parts), false);
    }

    /**
     * Returns a caller of a kind of requests.
     *
     * @param kind kind
     * @return any of its callers
     */
    String caller(int kind) {
        return "caller-" + kind + "-" + random.nextInt(CALLERS);
    }

    /**
     * Returns a part for a document.
     *
     * @param kind kind of requests
     * @param number number of the document
     * @return part
     */
    static PromptPartId document(int kind, int number) {
        return new PromptPartId("document-" + kind + "-" + number);
    }

    // A session ends after a few requests.
    private PromptPartId session(int kind) {
        int place = random.nextInt(SESSIONS);
        if (sessions[kind][place] == 0 || random.nextInt(5) == 0) {
            sessions[kind][place] = ++sessionCount;
        }
        return new PromptPartId("session-" + kind + "-" + sessions[kind][place]);
    }
}
