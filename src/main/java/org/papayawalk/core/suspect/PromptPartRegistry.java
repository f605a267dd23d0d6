package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Detects parts of prompts that crash each upstream that begins to answer a request with them, in
 * requests that are otherwise all different. When an upstream crashes, each part of each request
 * that it was answering is involved; a complete answer clears the parts of its request. So what
 * remains is the part that is never answered. Parts that cannot be told apart yet are tried one
 * request at a time. Recording is idempotent, as entries tell each other what they observe. Bounded
 * in the number of parts. Thread-safe.
 */
public final class PromptPartRegistry {
    private static final int MAX_SUSPICIONS = 2048;

    private static final int MAX_ANSWERED = 8192;

    /** Bound of the parts that are told to another entry at a time. */
    private static final int MAX_SHARED = 256;

    /** Time after a crash for which other entries are told of parts that are not suspected. */
    private static final Duration TOLD_FOR = Duration.ofSeconds(30);

    /** Time between trials of the same part at one entry, in which a trial mostly ends. */
    private static final Duration TRIAL_INTERVAL = Duration.ofMillis(1500);

    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** Crashes without another part from which that part does not explain them. */
    private static final int DECISIVE_LEAD = 3;

    /** Common crashes from which one part may explain the crashes of another. */
    private static final int MIN_COMMON_CRASHES = 2;

    private final Predicate<PromptPartId> triesAgain;

    private final Map<PromptPartId, PartSuspicion> suspicions = new HashMap<>();

    /** Last complete answer by part, least recently answered first. */
    private final Map<PromptPartId, Instant> answered = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<PromptPartId, Instant> trials = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param triesAgain whether this entry is the one that tries a refused part again after a while
     */
    public PromptPartRegistry(Predicate<PromptPartId> triesAgain) {
        this.triesAgain = triesAgain;
    }

    /**
     * Records that an upstream process crashed while it was answering a request.
     *
     * @param parts parts of the prompt that other requests may share
     * @param process crashed process
     * @param now present time
     */
    public synchronized void recordCrash(
            Collection<PromptPartId> parts, UpstreamProcess process, Instant now) {
        parts.forEach(p -> addCrash(p, process, now, now));
    }

    /**
     * Records that a request was answered completely by one upstream. This speaks for its parts at
     * the time at which the answer began, and not for one that has become bad since.
     *
     * @param parts parts of the prompt that other requests may share
     * @param begunAt when the answer began
     */
    public synchronized void recordAnswer(Collection<PromptPartId> parts, Instant begunAt) {
        parts.forEach(p -> addAnswer(p, begunAt));
    }

    /**
     * Returns the verdict about a request.
     *
     * @param parts parts of the prompt that other requests may share
     * @param now present time
     * @return verdict by what this entry and others have observed
     */
    public synchronized PartVerdict verdict(Collection<PromptPartId> parts, Instant now) {
        List<PromptPartId> suspected = parts.stream().filter(p -> isSuspected(p, now)).toList();
        if (suspected.isEmpty()) {
            return PartVerdict.CLEAR;
        }
        Set<PromptPartId> refused = new HashSet<>(suspected);
        refused.removeIf(p -> !suspicions.get(p).isRefused(now));
        Set<PromptPartId> due = new HashSet<>(refused);
        due.removeIf(p -> !isTrialDue(p, parts, now));
        boolean tried = refused.stream().allMatch(p -> due.contains(p) || isExplained(p, due));
        return tried ? PartVerdict.TRIAL : PartVerdict.REFUSED;
    }

    /**
     * Begins a trial of a request whose verdict is {@link PartVerdict#TRIAL}.
     *
     * @param parts parts of the prompt that other requests may share
     * @param now present time
     * @return false if a trial of one of the suspected parts has begun just before
     */
    public synchronized boolean beginTrial(Collection<PromptPartId> parts, Instant now) {
        trials.values().removeIf(t -> !t.plus(TRIAL_INTERVAL).isAfter(now));
        List<PromptPartId> suspected = parts.stream().filter(p -> isSuspected(p, now)).toList();
        if (suspected.stream().anyMatch(trials::containsKey)) {
            return false;
        }
        suspected.forEach(p -> trials.put(p, now));
        return true;
    }

    /**
     * Returns the delay after which a request that was refused for its parts may be sent again.
     *
     * @param parts parts of the prompt that other requests may share
     * @param now present time
     * @return time until a refused part is tried again, at least the time between two trials
     */
    public synchronized Duration retryAfter(Collection<PromptPartId> parts, Instant now) {
        return parts.stream()
                .map(suspicions::get)
                .filter(s -> s != null && s.isRefused(now))
                .map(s -> Duration.between(now, s.retryAt(failedTrials(s, now), false)))
                .max(Comparator.naturalOrder())
                .filter(d -> d.compareTo(TRIAL_INTERVAL) > 0)
                .orElse(TRIAL_INTERVAL);
    }

    /**
     * Returns what to tell other entries.
     *
     * @param now present time
     * @return evidence on the parts that are suspected, have crashed an upstream lately or are
     *     judged otherwise by another entry; those with the most crashes first, bounded in number
     */
    public synchronized List<PartEvidence> evidence(Instant now) {
        suspicions.values().removeIf(s -> s.lastCrash().plus(RETENTION).isBefore(now));
        Comparator<Map.Entry<PromptPartId, PartSuspicion>> order =
                Comparator.comparing(e -> e.getValue().crashes().size());
        return suspicions.entrySet().stream()
                .filter(e -> isRelevant(e.getValue(), now))
                .sorted(order.thenComparing(e -> e.getValue().lastCrash()).reversed())
                .limit(MAX_SHARED)
                .map(e -> evidence(e.getKey(), e.getValue(), now))
                .toList();
    }

    /**
     * Adds what another entry has told.
     *
     * @param evidence evidence of the other entry
     * @param now present time
     */
    public synchronized void merge(Collection<PartEvidence> evidence, Instant now) {
        for (PartEvidence e : evidence) {
            e.crashAges().forEach((p, age) -> addCrash(e.part(), p, now.minus(age), now));
            PartSuspicion suspicion = suspicions.get(e.part());
            if (suspicion != null) {
                Set<UpstreamProcess> counted = new HashSet<>(e.crashAges().keySet());
                counted.removeAll(e.cleared());
                suspicion.noteCounted(counted, now);
                suspicion.clear(e.cleared());
                if (e.answered()) {
                    suspicion.noteAnswered();
                }
            }
        }
    }

    /**
     * Returns how many parts are held.
     *
     * @return number of parts with crashes or answers, bounded
     */
    synchronized int size() {
        return suspicions.size() + answered.size() + trials.size();
    }

    private static boolean isRelevant(PartSuspicion suspicion, Instant now) {
        return suspicion.isSuspected(now)
                || suspicion.lastCrash().plus(TOLD_FOR).isAfter(now)
                || suspicion.contradictedAt().plus(TOLD_FOR).isAfter(now);
    }

    private static PartEvidence evidence(PromptPartId part, PartSuspicion suspicion, Instant now) {
        Map<UpstreamProcess, Duration> ages = new HashMap<>();
        suspicion.crashes().forEach((p, at) -> ages.put(p, age(at, now)));
        return new PartEvidence(part, ages, suspicion.cleared(), suspicion.isAnswered());
    }

    private static Duration age(Instant at, Instant now) {
        return at.isAfter(now) ? Duration.ZERO : Duration.between(at, now);
    }

    private void addCrash(PromptPartId part, UpstreamProcess process, Instant at, Instant now) {
        if (!suspicions.containsKey(part)) {
            makeRoom();
            suspicions.put(part, new PartSuspicion());
            if (answered.containsKey(part)) {
                suspicions.get(part).noteAnswered();
            }
        }
        suspicions.get(part).recordCrash(process, at, now);
    }

    private void addAnswer(PromptPartId part, Instant at) {
        answered.merge(part, at, (a, b) -> a.isAfter(b) ? a : b);
        if (answered.size() > MAX_ANSWERED) {
            answered.remove(answered.keySet().iterator().next());
        }
        PartSuspicion suspicion = suspicions.get(part);
        if (suspicion != null) {
            suspicion.recordAnswer(at);
        }
    }

    // Drops the parts with the fewest crashes, several at a time, as this sorts them all.
    private void makeRoom() {
        if (suspicions.size() < MAX_SUSPICIONS) {
            return;
        }
        Comparator<PromptPartId> order =
                Comparator.comparing(p -> suspicions.get(p).processes().size());
        List<PromptPartId> dropped =
                suspicions.keySet().stream()
                        .sorted(order.thenComparing(p -> suspicions.get(p).lastCrash()))
                        .limit(MAX_SUSPICIONS / 8)
                        .toList();
        suspicions.keySet().removeAll(new HashSet<>(dropped));
    }

    private boolean isSuspected(PromptPartId part, Instant now) {
        PartSuspicion suspicion = suspicions.get(part);
        return suspicion != null && suspicion.isSuspected(now);
    }

    // While it is not settled what crashes the upstreams any entry tries, later only one.
    private boolean isTrialDue(PromptPartId part, Collection<PromptPartId> parts, Instant now) {
        PartSuspicion suspicion = suspicions.get(part);
        int failed = failedTrials(suspicion, now);
        if (suspicion.retryAt(failed, false).isAfter(now) && !hasRival(suspicion, parts, now)) {
            return false;
        }
        return suspicion.settledAt().isAfter(now)
                || (!suspicion.retryAt(failed, true).isAfter(now) && triesAgain.test(part));
    }

    // A crash is no failed trial if a part that crashed far more upstreams explains it.
    private int failedTrials(PartSuspicion suspicion, Instant now) {
        Set<UpstreamProcess> unexplained = new HashSet<>(suspicion.crashedInTrials());
        if (!unexplained.isEmpty()) {
            suspicions.values().stream()
                    .filter(s -> lead(s.processes(), suspicion.processes()) >= DECISIVE_LEAD)
                    .filter(s -> s.isSuspected(now))
                    .forEach(s -> unexplained.removeAll(s.processes()));
        }
        return unexplained.size();
    }

    // A part that was answered before may stand in a trial of another that crashed more upstreams,
    // among them nearly all of its own: if it were at fault, the other would not lead.
    private boolean isExplained(PromptPartId part, Set<PromptPartId> due) {
        PartSuspicion suspicion = suspicions.get(part);
        Set<UpstreamProcess> crashed = suspicion.processes();
        return suspicion.isAnswered()
                && due.stream()
                        .map(d -> suspicions.get(d).processes())
                        .anyMatch(
                                p ->
                                        lead(p, crashed) >= DECISIVE_LEAD
                                                && crashed.size() - commonCrashes(p, crashed)
                                                        < DECISIVE_LEAD);
    }

    // Returns whether parts that the request lacks may be what crashed the same upstreams.
    private boolean hasRival(PartSuspicion suspicion, Collection<PromptPartId> parts, Instant now) {
        Set<UpstreamProcess> unexplained = new HashSet<>(suspicion.processes());
        suspicions.entrySet().stream()
                .filter(e -> !parts.contains(e.getKey()) && e.getValue().isSuspected(now))
                .filter(e -> suspicion.isAnswered() || !e.getValue().isAnswered())
                .map(e -> e.getValue().processes())
                .filter(p -> commonCrashes(p, suspicion.processes()) >= MIN_COMMON_CRASHES)
                .forEach(unexplained::removeAll);
        return unexplained.size() < Math.min(DECISIVE_LEAD, suspicion.processes().size());
    }

    private static int lead(Set<UpstreamProcess> some, Set<UpstreamProcess> others) {
        return some.size() - others.size();
    }

    private static long commonCrashes(Set<UpstreamProcess> some, Set<UpstreamProcess> others) {
        return some.stream().filter(others::contains).count();
    }
}
