package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Asks how many slots ranks leave free, and plays a burst of a low rank with and without that. */
public final class RankPressureTest {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static final int SLOTS = 120;

    private static final Duration ANSWER = Duration.ofSeconds(1);

    private RankPressure pressure;

    /** Creates a pressure of no rank. */
    @BeforeMethod
    public void start() {
        pressure = new RankPressure();
    }

    /** Nothing is left free while all ranks find room. */
    @Test
    public void nothingIsReservedWithoutPressure() {
        assertEquals(pressure.reserve(9, NOW), 0.0);
    }

    /** A rank reserves for itself against lower ranks only, and in bounds. */
    @Test
    public void rankReservesAgainstLowerRanks() {
        for (int i = 0; i < 100; i++) {
            pressure.foundNoRoom(1, NOW);
        }
        assertEquals(pressure.reserve(0, NOW), 0.0);
        assertEquals(pressure.reserve(1, NOW), 0.0);
        assertEquals(pressure.reserve(2, NOW), 0.25);
        assertEquals(pressure.reserve(Integer.MAX_VALUE, NOW), 0.25);
    }

    /** Room is given back when the pressure ends. */
    @Test
    public void roomIsLentAgain() {
        pressure.foundNoRoom(0, NOW);
        double first = pressure.reserve(2, NOW);
        assertTrue(first > 0);
        assertEquals(pressure.reserve(2, NOW.plusSeconds(1)), first / 2, 1e-9);
        assertEquals(pressure.reserve(2, NOW.plusSeconds(30)), 0.0);
    }

    /** Time that stands still or goes back, and odd ranks, do no harm. */
    @Test
    public void oddInputsDoNoHarm() {
        pressure.foundNoRoom(-5, NOW);
        pressure.foundNoRoom(Integer.MAX_VALUE, NOW.minusSeconds(5));
        double reserve = pressure.reserve(3, NOW.minusSeconds(60));
        assertTrue(reserve > 0 && reserve <= 0.25, "" + reserve);
    }

    /**
     * While a low rank asks for more than there is, the high rank whose demand fits finds room more
     * often than without a reserve, and the low rank still gets most of the rest.
     */
    @Test
    public void highRankFindsRoomBesideABurst() {
        double[] without = play(false);
        double[] with = play(true);
        assertTrue(with[0] > 0.97, "high rank " + with[0] + ", without " + without[0]);
        assertTrue(with[0] > without[0], "high rank " + with[0] + ", without " + without[0]);
        double rest = (SLOTS - 60) / 120.0;
        assertTrue(with[1] > rest * 0.8, "low rank " + with[1] + " of " + rest);
    }

    // Returns the share of the requests of ranks 0 and 2 that found room: 60 and 120 a second at
    // 120
    // slots, answers of a second.
    private double[] play(boolean reserves) {
        Random random = new Random(1);
        Deque<Instant> ends = new ArrayDeque<>();
        int[] asked = new int[2];
        int[] served = new int[2];
        for (int ms = 0; ms < 20_000; ms++) {
            Instant now = NOW.plusMillis(ms);
            while (!ends.isEmpty() && !ends.getFirst().isAfter(now)) {
                ends.removeFirst();
            }
            for (int kind = 0; kind < 2; kind++) {
                if (random.nextInt(1000) >= (kind == 0 ? 60 : 120)) {
                    continue;
                }
                int rank = 2 * kind;
                double reserve = reserves ? pressure.reserve(rank, now) : 0;
                asked[kind]++;
                if (ends.size() < SLOTS * (1 - reserve)) {
                    ends.addLast(now.plus(ANSWER));
                    served[kind]++;
                } else {
                    pressure.foundNoRoom(rank, now);
                }
            }
        }
        return new double[] {(double) served[0] / asked[0], (double) served[1] / asked[1]};
    }
}
