package org.papayawalk.core.suspect;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.testng.annotations.Test;

/** Tests of {@link PromptPartRegistry}. */
public final class PromptPartRegistryTest {
    private static final Instant START = Instant.EPOCH;

    private static final PromptPartId BAD = new PromptPartId("bad");

    private static final PromptPartId POPULAR = new PromptPartId("popular");

    private static final PromptPartId COMPANION = new PromptPartId("companion");

    private final PromptPartRegistry registry = new PromptPartRegistry(p -> true);

    /** A part that crashes each upstream is refused; the parts beside it are not. */
    @Test
    public void refusesOnlyThePartThatIsNeverAnswered() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        for (int i = 0; i < 5; i++) {
            fresh.recordCrash(List.of(POPULAR, part("own-" + i), BAD), process(i), at(100 * i));
            fresh.recordAnswer(List.of(POPULAR, part("own-" + i)), at(100 * i + 50));
        }
        assertEquals(fresh.verdict(List.of(BAD), at(600)), PartVerdict.REFUSED);
        assertEquals(fresh.verdict(List.of(POPULAR, BAD), at(600)), PartVerdict.REFUSED);
        assertEquals(fresh.verdict(List.of(POPULAR), at(600)), PartVerdict.CLEAR);
    }

    /** One answer without the bad part clears the part that always stands beside it. */
    @Test
    public void oneAnswerClearsCompanion() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        IntStream.range(0, 5)
                .forEach(i -> fresh.recordCrash(List.of(COMPANION, BAD), process(i), at(100 * i)));
        assertNotEquals(fresh.verdict(List.of(COMPANION), at(600)), PartVerdict.CLEAR);
        fresh.recordAnswer(List.of(COMPANION), at(700));
        assertEquals(fresh.verdict(List.of(COMPANION), at(1300)), PartVerdict.CLEAR);
        assertEquals(fresh.verdict(List.of(COMPANION, BAD), at(1300)), PartVerdict.REFUSED);
    }

    /** Five upstreams that crash at once do not make a part refused that is answered at others. */
    @Test
    public void plainCrashesDoNotRefusePopularPart() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        fresh.recordAnswer(List.of(POPULAR), START);
        IntStream.range(0, 5).forEach(i -> fresh.recordCrash(List.of(POPULAR), process(i), at(10)));
        assertEquals(fresh.verdict(List.of(POPULAR), at(1000)), PartVerdict.CLEAR);
        assertNotEquals(fresh.verdict(List.of(POPULAR), at(1500)), PartVerdict.REFUSED);
        fresh.recordAnswer(List.of(POPULAR), at(1200));
        assertEquals(fresh.verdict(List.of(POPULAR), at(1600)), PartVerdict.CLEAR);
    }

    /** An entry that missed an answer learns of it when it tells crashes that were cleared. */
    @Test
    public void lateClearReachesAnEntryThatStillCountsTheCrashes() {
        PromptPartRegistry here = new PromptPartRegistry(p -> true);
        PromptPartRegistry there = new PromptPartRegistry(p -> false);
        IntStream.range(0, 5).forEach(i -> here.recordCrash(List.of(POPULAR), process(i), at(i)));
        there.merge(here.evidence(at(10)), at(10));
        here.recordAnswer(List.of(POPULAR), at(33_000));
        assertEquals(there.verdict(List.of(POPULAR), at(34_000)), PartVerdict.REFUSED);
        here.merge(there.evidence(at(34_000)), at(34_000));
        there.merge(here.evidence(at(34_100)), at(34_100));
        assertEquals(there.verdict(List.of(POPULAR), at(34_200)), PartVerdict.CLEAR);
    }

    /** An answer that began before the crash does not speak against it. */
    @Test
    public void answerBegunBeforeCrashClearsNothing() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        IntStream.range(0, 8).forEach(i -> fresh.recordCrash(List.of(BAD), process(i), at(100)));
        fresh.recordAnswer(List.of(BAD), at(50));
        assertEquals(fresh.verdict(List.of(BAD), at(1200)), PartVerdict.REFUSED);
    }

    /** Evidence that comes back over other entries again and again changes nothing. */
    @Test
    public void mergeIsIdempotent() {
        PromptPartRegistry one = new PromptPartRegistry(p -> true);
        PromptPartRegistry other = new PromptPartRegistry(p -> true);
        one.recordAnswer(List.of(BAD), START);
        IntStream.range(0, 8).forEach(i -> one.recordCrash(List.of(BAD), process(i), at(100)));
        for (int i = 0; i < 20; i++) {
            other.merge(one.evidence(at(200 + 400 * i)), at(400 + 400 * i));
            one.merge(other.evidence(at(400 + 400 * i)), at(600 + 400 * i));
        }
        List<PartEvidence> told = one.evidence(at(9000));
        assertEquals(told.size(), 1);
        assertEquals(told.get(0).crashAges().size(), 8);
        assertTrue(told.get(0).cleared().isEmpty());
        assertEquals(told.get(0).crashAges().get(process(0)), Duration.ofMillis(8900));
        assertEquals(one.verdict(List.of(BAD), at(9000)), PartVerdict.REFUSED);
        assertEquals(other.verdict(List.of(BAD), at(9000)), PartVerdict.REFUSED);
    }

    /** An entry that knows nothing refuses a part as soon as another has told it. */
    @Test
    public void restartedEntryLearns() {
        PromptPartRegistry other = new PromptPartRegistry(p -> true);
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        IntStream.range(0, 5).forEach(i -> other.recordCrash(List.of(BAD), process(i), at(i)));
        assertEquals(fresh.verdict(List.of(BAD), at(3000)), PartVerdict.CLEAR);
        fresh.merge(other.evidence(at(3000)), at(3100));
        assertEquals(fresh.verdict(List.of(BAD), at(3100)), PartVerdict.REFUSED);
    }

    /** An answer that one entry saw clears a part at all. */
    @Test
    public void answerIsToldToOthers() {
        PromptPartRegistry one = new PromptPartRegistry(p -> true);
        PromptPartRegistry other = new PromptPartRegistry(p -> true);
        IntStream.range(0, 3).forEach(i -> one.recordCrash(List.of(POPULAR), process(i), at(i)));
        other.merge(one.evidence(at(100)), at(200));
        assertEquals(other.verdict(List.of(POPULAR), at(200)), PartVerdict.TRIAL);
        one.recordAnswer(List.of(POPULAR), at(300));
        other.merge(one.evidence(at(400)), at(500));
        assertEquals(other.verdict(List.of(POPULAR), at(500)), PartVerdict.CLEAR);
    }

    /** A suspected part runs in one request at a time. */
    @Test
    public void trialsOfOnePartFollowEachOther() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        IntStream.range(0, 2).forEach(i -> fresh.recordCrash(List.of(BAD), process(i), at(i)));
        assertTrue(fresh.beginTrial(List.of(BAD), at(100)));
        assertFalse(fresh.beginTrial(List.of(BAD, POPULAR), at(1500)));
        assertTrue(fresh.beginTrial(List.of(BAD), at(1600)));
    }

    /** A sound part that runs where a bad one crashes upstreams is still tried. */
    @Test
    public void crashesOfBadPartAreNoFailedTrialsOfAnother() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        fresh.recordAnswer(List.of(POPULAR), START);
        IntStream.range(0, 7).forEach(i -> fresh.recordCrash(List.of(POPULAR), process(i), at(10)));
        IntStream.range(10, 21).forEach(i -> fresh.recordCrash(List.of(BAD), process(i), at(10)));
        for (int i = 30; i < 33; i++) {
            fresh.recordCrash(List.of(POPULAR), process(i), at(5000));
            fresh.recordCrash(List.of(BAD), process(i), at(5000));
        }
        assertEquals(fresh.verdict(List.of(POPULAR), at(5100)), PartVerdict.REFUSED);
        assertEquals(fresh.verdict(List.of(POPULAR), at(15_100)), PartVerdict.TRIAL);
        assertEquals(fresh.verdict(List.of(BAD), at(15_100)), PartVerdict.REFUSED);
    }

    /** Crashes before a part was refused do not use up its trials. */
    @Test
    public void crashesBeforeRefusalAreNoFailedTrials() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        fresh.recordAnswer(List.of(POPULAR), START);
        IntStream.range(0, 4).forEach(i -> fresh.recordCrash(List.of(POPULAR), process(i), at(10)));
        assertEquals(fresh.verdict(List.of(POPULAR), at(5900)), PartVerdict.CLEAR);
        IntStream.range(4, 7)
                .forEach(i -> fresh.recordCrash(List.of(POPULAR), process(i), at(6000)));
        assertEquals(fresh.verdict(List.of(POPULAR), at(6100)), PartVerdict.REFUSED);
        assertEquals(fresh.verdict(List.of(POPULAR), at(16_100)), PartVerdict.TRIAL);
    }

    /** The number of parts that are held and told is bounded. */
    @Test
    public void numberOfPartsIsBounded() {
        for (int i = 0; i < 100_000; i++) {
            List<PromptPartId> parts = List.of(part("part-" + i));
            registry.recordCrash(parts, process(i), at(i));
            registry.recordAnswer(List.of(part("sound-" + i)), at(i));
        }
        assertTrue(registry.size() <= 20_000, "holds " + registry.size());
        assertTrue(registry.evidence(at(100_000)).size() <= 256);
    }

    /** Bad parts are still found among many others. */
    @Test
    public void badPartIsFoundAmongMany() {
        PromptPartRegistry fresh = new PromptPartRegistry(p -> true);
        IntStream.range(0, 5).forEach(i -> fresh.recordCrash(List.of(BAD), process(i), at(i)));
        Stream<Integer> others = IntStream.range(0, 20_000).boxed();
        others.forEach(i -> fresh.recordCrash(List.of(part("p" + i)), process(9), at(10)));
        assertEquals(fresh.verdict(List.of(BAD), at(100)), PartVerdict.REFUSED);
    }

    private static PromptPartId part(String value) {
        return new PromptPartId(value);
    }

    private static UpstreamProcess process(int number) {
        return new UpstreamProcess(new UpstreamId("i-" + number), 1);
    }

    private static Instant at(int millis) {
        return START.plusMillis(millis);
    }
}
