package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.papayawalk.core.id.PromptPartId;

/**
 * What happens in one emulation, chosen by a seed. Immutable.
 *
 * @param seed seed of choices and delays
 * @param entries number of entries
 * @param upstreams number of upstreams
 * @param kinds number of kinds of requests
 * @param perSecond sound requests per second
 * @param maxLagMillis longest way of a message between entries
 * @param badParts bad parts
 * @param faults other faults
 */
record PartsScenario(
        long seed,
        int entries,
        int upstreams,
        int kinds,
        double perSecond,
        int maxLagMillis,
        List<BadPart> badParts,
        List<PartsFault> faults) {

    /** Time of an emulation. */
    static final Duration TIME = Duration.ofSeconds(70);

    /** Domains of the upstreams. */
    static final int DOMAINS = 4;

    /** Slots of an upstream. */
    static final int SLOTS = 16;

    // Load of the upstreams in the mean: requests take 1.43 s, and 0.7 of the slots are in use.
    private static final double MAX_PER_SLOT = 0.7 / 1.43;

    private static final int MIN_PER_SECOND = 60;

    private static final int MAX_PER_SECOND = 160;

    private static final int[] LAGS = {30, 300, 1000};

    // First moment of trouble, and time between bad parts that follow each other.
    private static final int TROUBLE_MILLIS = 15_000;

    private static final int[] GAPS = {0, 8000, 20_000};

    /**
     * Chooses what happens.
     *
     * @param seed seed
     * @return scenario
     */
    static PartsScenario of(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int upstreams = random.nextInt(8, 21);
        double most = Math.min(MAX_PER_SECOND, upstreams * SLOTS * MAX_PER_SLOT);
        double rate = MIN_PER_SECOND + random.nextDouble() * Math.max(0, most - MIN_PER_SECOND);
        int entries = random.nextInt(4, 13);
        int kinds = random.nextInt(2, 5);
        int lag = LAGS[random.nextInt(LAGS.length)];
        List<BadPart> parts = badParts(kinds, random);
        return new PartsScenario(
                seed, entries, upstreams, kinds, rate, lag, parts, faults(entries, random));
    }

    private static List<BadPart> badParts(int kinds, SplittableRandom random) {
        List<BadPart> parts = new ArrayList<>();
        int count = random.nextInt(2) == 0 ? 1 : random.nextInt(1, 4);
        int gap = GAPS[random.nextInt(GAPS.length)];
        for (int i = 0; i < count; i++) {
            Instant from =
                    Instant.EPOCH.plusMillis(TROUBLE_MILLIS + (long) gap * i + random.nextInt(500));
            parts.add(badPart(i, random.nextInt(kinds), from, random));
        }
        return parts;
    }

    private static BadPart badPart(int number, int kind, Instant from, SplittableRandom random) {
        PartsTraffic traffic = new PartsTraffic(kind + 1, random);
        int origin = random.nextInt(4);
        PromptPartId part =
                origin == 0
                        ? PartsTraffic.document(kind, number)
                        : new PromptPartId("bad-" + number);
        List<PromptPartId> companions =
                random.nextInt(4) == 0 ? traffic.next(kind).parts : List.of();
        return new BadPart(
                part,
                kind,
                traffic.caller(kind),
                random.nextInt(4),
                random.nextDouble(1, 12),
                from,
                from.plusMillis(random.nextInt(10_000, 45_000)),
                companions,
                origin <= 1);
    }

    private static List<PartsFault> faults(int entries, SplittableRandom random) {
        List<PartsFault> faults = new ArrayList<>();
        int count = random.nextInt(4) == 0 ? 0 : random.nextInt(1, 7);
        for (int i = 0; i < count; i++) {
            PartsFault.Kind[] kinds = PartsFault.Kind.values();
            PartsFault.Kind kind = kinds[random.nextInt(kinds.length)];
            Instant at = Instant.EPOCH.plusMillis(random.nextInt(8000, 60_000));
            boolean ofEntry = kind.ordinal() <= PartsFault.Kind.CUT.ordinal();
            Duration lasting =
                    ofEntry ? Duration.ofMillis(random.nextInt(1000, 5001)) : Duration.ZERO;
            int index = random.nextInt(ofEntry ? entries : DOMAINS);
            faults.add(new PartsFault(kind, at, lasting, index, random.nextInt(1, 6)));
        }
        return faults;
    }
}
