package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Choice of sources, and when a follower turns to the store. */
public final class FeedRoleTest {
    private static final Instant START = Instant.EPOCH;

    private static final PollSchedule SCHEDULE =
            new PollSchedule(Duration.ofSeconds(3), Duration.ofSeconds(2));

    private final List<String> region =
            IntStream.range(0, 12).mapToObj(i -> "10.0.0." + i + ":7000").toList();

    /** So few entries that a source saves no calls all follow the store. */
    @Test
    public void smallRegionsFollowTheStore() {
        PollSchedule seldom = new PollSchedule(Duration.ofSeconds(6), Duration.ofSeconds(4));
        for (int i = 0; i < 2; i++) {
            FeedRole role = role(i, region.subList(0, 2), seldom);
            assertTrue(role.source(START).isEmpty());
            assertTrue(role.followsStore(START));
            assertEquals(role.storeWait(0, START, START), seldom.wait(0));
        }
    }

    /** Up to six entries have one source, whose calls end when a proof is due. */
    @Test
    public void regionsOfAFewHaveOneSource() {
        Instant proven = START.plusSeconds(9);
        Instant now = proven.plusMillis(100);
        for (int count = 3; count <= FeedRole.ONE_SOURCE_REGION; count++) {
            List<String> few = region.subList(0, count);
            List<FeedRole> roles = IntStream.range(0, count).mapToObj(i -> role(i, few)).toList();
            List<FeedRole> sources = roles.stream().filter(r -> r.source(START).isEmpty()).toList();
            assertEquals(sources.size(), 1);
            Duration left = SCHEDULE.proofInterval().minusMillis(100);
            assertEquals(sources.get(0).storeWait(0, proven, now), left);
            assertEquals(sources.get(0).storeWait(1, proven, now), Duration.ZERO);
        }
    }

    /** All entries of a region agree on two sources, and the others follow one of these. */
    @Test
    public void entriesAgreeOnTheSources() {
        List<String> sources = new ArrayList<>();
        List<String> followed = new ArrayList<>();
        for (int i = 0; i < region.size(); i++) {
            role(i, region)
                    .source(START)
                    .ifPresentOrElse(followed::add, addTo(sources, region.get(i)));
        }
        assertEquals(sources.size(), FeedRole.SOURCES);
        assertTrue(sources.containsAll(followed));
        assertTrue(followed.containsAll(sources), "all follow " + followed.get(0));
    }

    /** A follower turns to the store until its source has answered, and when that fails. */
    @Test
    public void followerWithoutAnswerFollowsTheStore() {
        FeedRole role = follower();
        assertTrue(role.followsStore(START));
        String source = role.source(START).orElseThrow();
        assertEquals(role.sourceWait(START, START), Duration.ZERO);
        role.answered(source, START);
        assertFalse(role.followsStore(START));
        assertEquals(role.sourceWait(START, START), SCHEDULE.sourceWait());
        role.failed(source);
        assertTrue(role.followsStore(START));
        assertEquals(role.sourceWait(START, START), Duration.ZERO);
    }

    /** An answer counts for as long as the next one may take. */
    @Test
    public void silentSourceIsNoSource() {
        FeedRole role = follower();
        role.answered(role.source(START).orElseThrow(), START);
        Instant last = START.plus(SCHEDULE.sourceSilence());
        assertFalse(role.followsStore(last));
        assertTrue(role.followsStore(last.plusMillis(1)));
    }

    /** Another source takes the place of one that failed, and late news of that are ignored. */
    @Test
    public void failedSourceIsReplaced() {
        FeedRole role = follower();
        String failed = role.source(START).orElseThrow();
        role.failed(failed);
        List<String> rest = new ArrayList<>(region);
        rest.remove(failed);
        role.update(rest);
        String next = role.source(START).orElseThrow();
        assertNotEquals(next, failed);
        role.answered(failed, START);
        assertTrue(role.followsStore(START));
        role.answered(next, START);
        role.failed(failed);
        assertFalse(role.followsStore(START));
    }

    /** A source that answers is kept for a while although a better one is back. */
    @Test
    public void answeringSourceIsKept() {
        FeedRole role = follower();
        String best = role.source(START).orElseThrow();
        List<String> rest = new ArrayList<>(region);
        rest.remove(best);
        role.failed(best);
        role.update(rest);
        String second = role.source(START).orElseThrow();
        role.update(region);
        assertEquals(role.source(START.plusSeconds(9)).orElseThrow(), second);
        assertEquals(role.source(START.plusSeconds(10)).orElseThrow(), best);
        assertTrue(role.followsStore(START.plusSeconds(10)));
    }

    /** An entry that becomes a source follows the store. */
    @Test
    public void followerBecomesSource() {
        FeedRole role = follower();
        role.answered(role.source(START).orElseThrow(), START);
        role.update(List.of());
        assertTrue(role.followsStore(START));
        assertTrue(role.source(START).isEmpty());
    }

    private FeedRole follower() {
        return IntStream.range(0, region.size())
                .mapToObj(i -> role(i, region))
                .filter(r -> r.source(START).isPresent())
                .findFirst()
                .orElseThrow();
    }

    private static FeedRole role(int index, List<String> addresses) {
        return role(index, addresses, SCHEDULE);
    }

    private static FeedRole role(int index, List<String> addresses, PollSchedule schedule) {
        List<String> others = new ArrayList<>(addresses);
        FeedRole role = new FeedRole(others.remove(index), schedule);
        role.update(others);
        return role;
    }

    private static Runnable addTo(List<String> list, String element) {
        return () -> list.add(element);
    }
}
