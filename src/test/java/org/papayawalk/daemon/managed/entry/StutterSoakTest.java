package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.papayawalk.daemon.managed.Stutter;
import org.papayawalk.daemon.managed.Stutter.Answer;
import org.papayawalk.daemon.managed.Stutter.Arrival;
import org.papayawalk.daemon.managed.Stutter.Headers;
import org.papayawalk.daemon.managed.StutterRun;
import org.papayawalk.daemon.managed.entry.KeptCaller.Pace;
import org.papayawalk.daemon.managed.entry.KeptCaller.Received;
import org.papayawalk.daemon.managed.entry.KeptCaller.Request;
import org.papayawalk.support.Threads;
import org.testng.annotations.Test;

/** Callers with kept connections before two servers that stutter at random. */
public final class StutterSoakTest {
    private static final long SEEDS = Long.getLong("stutter.seeds", 4);

    private static final long FIRST_SEED = Long.getLong("stutter.first", 0);

    private static final int CALLERS = 8;

    private static final int REQUESTS = 24;

    private static final int DEADLINE_MILLIS = 1500;

    /** Longest cut copy; longer than most answers. */
    private static final int MAX_CUT = 500;

    private static final int SMALL_EVENT_BYTES = 40;

    /** Large enough for a stream to fill the buffers of a slow caller. */
    private static final int LARGE_EVENT_BYTES = 250_000;

    private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    private static final long HOLD_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    /**
     * Each caller gets the answer that a server gave to the same sending of the request, or none.
     *
     * @throws Exception if the entry does not listen
     */
    @Test
    public void callersGetTheirOwnAnswers() throws Exception {
        List<String> wrong = new ArrayList<>();
        try (StutterBench bench = new StutterBench(2, StutterSoakTest::stutter)) {
            for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
                wrong.addAll(play(bench, seed));
            }
        }
        assertEquals(String.join("\n", wrong), "");
    }

    private static List<String> play(StutterBench bench, long seed) throws InterruptedException {
        Queue<Received> answers = new ConcurrentLinkedQueue<>();
        Queue<String> unasked = new ConcurrentLinkedQueue<>();
        CountDownLatch running = new CountDownLatch(CALLERS);
        for (int i = 0; i < CALLERS; i++) {
            String name = seed + "-" + i;
            Threads.start("caller", () -> call(bench, name, answers, unasked, running));
        }
        while (running.getCount() > 0) {
            Runnable release = bench.fixture().holdEventLoops();
            LockSupport.parkNanos(HOLD_NANOS);
            release.run();
            running.await(HOLD_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
        }
        List<StutterRun> runs = bench.takeRuns();
        StutterJudge judge = new StutterJudge(runs);
        answers.forEach(judge::judge);
        long served = answers.stream().filter(a -> a.status() == 200).count();
        long reused = runs.stream().filter(r -> r.earlier() > 0).count();
        assertEquals(answers.size(), CALLERS * REQUESTS);
        assertTrue(served > answers.size() / 8, served + " of " + answers.size() + " served");
        assertTrue(
                reused > runs.size() / 8, reused + " of " + runs.size() + " on used connections");
        List<String> wrong = new ArrayList<>(judge.violations());
        wrong.addAll(unasked);
        return wrong;
    }

    private static void call(
            StutterBench bench,
            String name,
            Queue<Received> answers,
            Queue<String> unasked,
            CountDownLatch running) {
        Random random = new Random(name.hashCode());
        try (KeptCaller caller = new KeptCaller(bench.fixture().caller().port())) {
            String id = "";
            String prefix = "";
            String method = "";
            for (int i = 0; i < REQUESTS; i++) {
                String attempt = name + "-" + i;
                boolean again = i > 0 && !prefix.equals("/pay/") && random.nextInt(4) == 0;
                if (!again) {
                    id = attempt;
                    int kind = random.nextInt(8);
                    prefix = kind < 5 ? "/advice/" : kind < 7 ? "/read/" : "/pay/";
                    method = kind < 5 || kind == 7 ? "POST" : kind == 5 ? "GET" : "HEAD";
                }
                Request request = new Request(attempt, id, method, prefix, DEADLINE_MILLIS);
                answers.add(caller.send(request, pace(random)));
            }
            caller.close();
            unasked.addAll(caller.unasked());
        } catch (IOException e) {
            unasked.add(name + ": " + e);
        } finally {
            running.countDown();
        }
    }

    private static Pace pace(Random random) {
        int draw = random.nextInt(20);
        return switch (draw) {
            case 0 -> Pace.LEAVES;
            case 1 -> Pace.LEAVES_EARLY;
            case 2, 3 -> Pace.SLOW;
            default -> Pace.FAST;
        };
    }

    private static Stutter stutter(String attempt, String stamp) {
        Random random = new Random(Objects.hash(attempt, stamp.charAt(1)));
        random.nextInt();
        int draw = random.nextInt(12);
        Answer answer =
                switch (draw) {
                    case 0, 1 -> Answer.ERROR;
                    case 2 -> Answer.BARE_REFUSAL;
                    case 3 -> Answer.REFUSAL;
                    case 4 -> Answer.UNFRAMED_STREAM;
                    case 5, 6, 7 -> Answer.LENGTH;
                    default -> Answer.STREAM;
                };
        Headers headers = Headers.values()[random.nextInt(Headers.values().length)];
        Arrival arrival = Arrival.values()[random.nextInt(Arrival.values().length)];
        int cut = random.nextBoolean() ? Integer.MAX_VALUE : random.nextInt(MAX_CUT);
        int bytes = random.nextInt(25) == 0 ? LARGE_EVENT_BYTES : SMALL_EVENT_BYTES;
        boolean large = bytes == LARGE_EVENT_BYTES;
        return new Stutter(answer, headers, large ? Arrival.NEVER : arrival, cut, bytes);
    }
}
