package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Emulates 35 entries in three regions that follow a row of the store: bytes between regions while
 * it changes often, and the time to each entry in touch in troubles of other entries and of the
 * store. Times are in milliseconds.
 */
public final class StateFeedEmulationTest {
    private static final List<Integer> REGIONS = List.of(11, 12, 12);

    private static final List<Integer> SMALL_REGIONS = List.of(1, 2, 3, 4, 6);

    private static final long CONTACT = 3_000;

    // Bounds on the time to each entry.
    private static final List<Long> BOUNDS = List.of(2_000L, 3_000L);

    private static final int OFTEN = 250;

    private static final int SELDOM = 3_300;

    private static final long START = 5_000;

    private static final long END = 35_000;

    private static final int SEEDS = 10;

    // Two sources in each of two regions away from the store, and what checks happen to fetch.
    private static final int MAX_COPIES = 6;

    private static final int LOSS = 5_000;

    private interface Trouble {
        void play(StateFeedEmulator emulator, long at);
    }

    /** A frequently changed document crosses the links a few times only, and arrives sooner. */
    @Test
    public void fewCopiesCrossTheLinks() {
        StateFeedEmulator before = calm(FeedDesign.STORE_ONLY);
        StateFeedEmulator after = calm(FeedDesign.SOURCES);
        String figures = figures(before) + "; " + figures(after);
        Reporter.log(figures);
        long copies = after.linkBytes() / after.changes() / EmulatedStore.ANSWER_BYTES;
        assertTrue(copies <= MAX_COPIES, figures);
        assertTrue(after.delay(0.99) <= before.delay(0.99), figures);
        assertTrue(after.storeCalls() <= before.storeCalls(), figures);
    }

    /** A frequently changed document crosses the link to each small region about once. */
    @Test
    public void oneCopyCrossesToEachSmallRegion() {
        StateFeedEmulator e =
                new StateFeedEmulator(FeedDesign.SOURCES, SMALL_REGIONS, CONTACT, BOUNDS.get(1), 1);
        e.change(START, END, OFTEN);
        e.run(END + 2 * BOUNDS.get(1));
        double copies = (double) e.linkBytes() / e.changes() / EmulatedStore.ANSWER_BYTES;
        int regionsAway = SMALL_REGIONS.size() - 1;
        assertTrue(copies <= 1.25 * regionsAway, copies + " copies, " + figures(e));
        assertEquals(e.late(), List.of());
    }

    /** No trouble of other entries delays a change at an entry in touch beyond the bound. */
    @Test
    public void changesAreInTimeInAnyTrouble() {
        for (long bound : BOUNDS) {
            for (int interval : new int[] {OFTEN, SELDOM}) {
                for (int seed = 0; seed < SEEDS; seed++) {
                    StateFeedEmulator e = create(FeedDesign.SOURCES, bound, seed);
                    e.change(START, END, interval);
                    e.disturb(START, END, 2_000);
                    e.run(END + 2 * bound);
                    assertEquals(e.late(), List.of(), "bound " + bound + ", seed " + seed);
                    assertTrue(e.delays() > 0);
                }
            }
        }
    }

    /** All sources of a region are killed at the same moment, again and again. */
    @Test
    public void changesAreInTimeAfterAllSourcesWereKilled() {
        checkLosses(FeedDesign.SOURCES, (e, at) -> e.killSources(at, 1, LOSS));
    }

    /** All sources of a region freeze at the same moment. */
    @Test
    public void changesAreInTimeWhileAllSourcesAreFrozen() {
        checkLosses(FeedDesign.SOURCES, (e, at) -> e.freezeSources(at, 1, LOSS));
    }

    /** All sources of a region lose the store without a sign of it, and go on answering. */
    @Test
    public void changesAreInTimeWhileAllSourcesAreCutOff() {
        checkLosses(FeedDesign.SOURCES, (e, at) -> e.cutSources(at, 1, LOSS));
    }

    /** After the store was silent, all entries have its changes in time. */
    @Test
    public void changesAreInTimeAfterOutages() {
        checkLosses(FeedDesign.SOURCES, (e, at) -> e.silenceStore(at, LOSS / 2));
    }

    /** Entries that disagree on the sources have changes in time too, with troubles as before. */
    @Test
    public void changesAreInTimeWithoutAgreement() {
        checkLosses(FeedDesign.DISAGREEMENT, (e, at) -> e.cutSources(at, 1, LOSS));
        checkLosses(FeedDesign.DISAGREEMENT, (e, at) -> e.freezeSources(at, 1, LOSS));
    }

    /** The emulator finds it if followers rely on their sources. */
    @Test
    public void followersThatDoNotCheckAreLate() {
        int late = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            late +=
                    lose(
                                    FeedDesign.SOURCES_WITHOUT_CHECKS,
                                    BOUNDS.get(0),
                                    seed,
                                    (e, at) -> e.cutSources(at, 1, LOSS))
                            .late()
                            .size();
        }
        assertTrue(late > 0);
    }

    /** The emulator finds it if answers of sources that have lost the store count as proofs. */
    @Test
    public void followersThatTrustTheirSourcesAreLate() {
        int late = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            late +=
                    lose(
                                    FeedDesign.SOURCES_TRUSTED,
                                    BOUNDS.get(0),
                                    seed,
                                    (e, at) -> e.cutSources(at, 1, LOSS))
                            .late()
                            .size();
        }
        assertTrue(late > 0);
    }

    /** In regions of a few entries too, a change is in time in any trouble. */
    @Test
    public void changesAreInTimeInSmallRegions() {
        for (long bound : BOUNDS) {
            for (int seed = 0; seed < 2 * SEEDS; seed++) {
                StateFeedEmulator e =
                        new StateFeedEmulator(
                                FeedDesign.SOURCES, SMALL_REGIONS, CONTACT, bound, seed);
                e.change(START, END, SELDOM);
                e.disturb(START, END, 2_000);
                e.run(END + 2 * bound);
                assertEquals(e.late(), List.of(), "bound " + bound + ", seed " + seed);
                assertTrue(e.delays() > 0);
            }
        }
    }

    /** While hardly anything changes, the calls to the store are those of the sources. */
    @Test
    public void calmCostsTheCallsOfTheSources() {
        StateFeedEmulator e = create(FeedDesign.SOURCES, BOUNDS.get(1), 1);
        e.change(START, START + 1, SELDOM);
        e.run(START);
        long before = e.storeCalls();
        e.run(END);
        PollSchedule schedule =
                new PollSchedule(Duration.ofMillis(CONTACT), Duration.ofMillis(BOUNDS.get(1)));
        long sources = (long) REGIONS.size() * FeedRole.SOURCES;
        // One more is under way at the start, and one is ended by the change.
        long calls = sources * ((END - START) / schedule.proofInterval().toMillis() + 2);
        assertTrue(e.storeCalls() - before <= calls, before + " of " + figures(e));
    }

    private static void checkLosses(FeedDesign design, Trouble trouble) {
        for (long bound : BOUNDS) {
            for (int seed = 0; seed < SEEDS; seed++) {
                StateFeedEmulator e = lose(design, bound, seed, trouble);
                assertEquals(e.late(), List.of(), "bound " + bound + ", seed " + seed);
                assertTrue(e.delays() > 0);
            }
        }
    }

    private static StateFeedEmulator lose(
            FeedDesign design, long bound, int seed, Trouble trouble) {
        StateFeedEmulator e = create(design, bound, seed);
        e.change(START, END, SELDOM / 2);
        for (long t = START; t < END; t += 2 * LOSS) {
            trouble.play(e, t + 100L * seed);
        }
        e.run(END + 2 * bound);
        return e;
    }

    private static StateFeedEmulator calm(FeedDesign design) {
        StateFeedEmulator e = create(design, BOUNDS.get(1), 1);
        e.change(START, END, OFTEN);
        e.run(END + 2 * BOUNDS.get(1));
        assertEquals(e.lowestVersion(), e.changes());
        assertEquals(e.late(), List.of());
        return e;
    }

    private static StateFeedEmulator create(FeedDesign design, long bound, long seed) {
        return new StateFeedEmulator(design, REGIONS, CONTACT, bound, seed);
    }

    private static String figures(StateFeedEmulator e) {
        return "%d kB over links for each of %d changes, %d calls, p50 %d p99 %d max %d ms"
                .formatted(
                        e.linkBytes() / 1000 / e.changes(),
                        e.changes(),
                        e.storeCalls(),
                        e.delay(0.5),
                        e.delay(0.99),
                        e.delay(1));
    }
}
