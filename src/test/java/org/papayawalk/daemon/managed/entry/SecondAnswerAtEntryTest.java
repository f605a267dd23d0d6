package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.papayawalk.daemon.managed.Stutter;
import org.papayawalk.daemon.managed.Stutter.Answer;
import org.papayawalk.daemon.managed.Stutter.Arrival;
import org.papayawalk.daemon.managed.Stutter.Headers;
import org.papayawalk.daemon.managed.StutterRun;
import org.papayawalk.daemon.managed.entry.KeptCaller.Pace;
import org.papayawalk.daemon.managed.entry.KeptCaller.Received;
import org.papayawalk.daemon.managed.entry.KeptCaller.Request;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against callers that get the answer to another sending of a request. */
public final class SecondAnswerAtEntryTest {
    private static final int CUTS = Integer.getInteger("stutter.cuts", 1);

    /** Longer than a stream here. */
    private static final int STREAM_BYTES = 480;

    /** Longer than any other answer here. */
    private static final int PLAIN_BYTES = 210;

    private static final int EVENT_BYTES = 30;

    private static final int PLAIN_REQUESTS = 4;

    private static final int DEADLINE_MILLIS = 200;

    /** Time in which also the first requests of a busy machine are answered. */
    private static final int PATIENT_MILLIS = 3000;

    private static final Stutter PLAIN =
            new Stutter(Answer.LENGTH, Headers.ID_FIRST, Arrival.NEVER, 0, EVENT_BYTES);

    private static final List<Answer> ANSWERS =
            List.of(
                    Answer.ERROR,
                    Answer.STREAM,
                    Answer.LENGTH,
                    Answer.BARE_REFUSAL,
                    Answer.REFUSAL,
                    Answer.UNFRAMED_STREAM);

    private final Random random = new Random(1);

    private StutterBench bench;

    private int sendings;

    /**
     * Starts the entry and one server, so that the next request takes the same connection.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        bench = new StutterBench(1, (a, s) -> PLAIN);
    }

    /**
     * Stops both.
     *
     * @throws IOException if they cannot be stopped
     */
    @AfterClass
    public void stop() throws IOException {
        bench.close();
    }

    /**
     * Times at which second copies come.
     *
     * @return arrivals
     */
    @DataProvider
    public Object[][] arrivals() {
        List<Object[]> rows = new ArrayList<>();
        for (Arrival a : Arrival.values()) {
            if (a != Arrival.NEVER) {
                rows.add(new Object[] {a});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * The next request gets its own answer or none.
     *
     * @param arrival when the second copy is sent
     * @throws IOException if the entry does not listen
     */
    @Test(dataProvider = "arrivals")
    public void nextRequestGetsNoOtherAnswer(Arrival arrival) throws IOException {
        play(arrival, Headers.ID_FIRST, false, "POST", "POST");
        play(arrival, Headers.ID_LAST, false, "POST", "POST");
    }

    /**
     * A request that is sent again with its id gets the answer to its second sending or none.
     *
     * @param arrival when the second copy is sent
     * @throws IOException if the entry does not listen
     */
    @Test(dataProvider = "arrivals")
    public void requestThatIsSentAgainGetsNoEarlierAnswer(Arrival arrival) throws IOException {
        play(arrival, Headers.ID_FIRST, true, "POST", "POST");
    }

    /**
     * A failure without an id of a request is taken for no other request.
     *
     * @param arrival when the second copy is sent
     * @throws IOException if the entry does not listen
     */
    @Test(dataProvider = "arrivals")
    public void nextRequestGetsNoFailureWithoutId(Arrival arrival) throws IOException {
        play(arrival, Headers.NO_ID, false, "POST", "POST");
    }

    /**
     * The same holds around HEAD requests, whose answers have a length but no body.
     *
     * @param arrival when the second copy is sent
     * @throws IOException if the entry does not listen
     */
    @Test(dataProvider = "arrivals")
    public void requestAfterHeadGetsNoOtherAnswer(Arrival arrival) throws IOException {
        play(arrival, Headers.ID_FIRST, false, "HEAD", "GET");
        play(arrival, Headers.ID_FIRST, true, "GET", "HEAD");
    }

    /**
     * The entry keeps connections to a server that does not stutter, so that copies can arrive on
     * them.
     *
     * @throws IOException if the entry does not listen
     */
    @Test
    public void connectionIsReused() throws IOException {
        try (KeptCaller caller = new KeptCaller(bench.fixture().caller().port())) {
            for (int i = 0; i < PLAIN_REQUESTS; i++) {
                String attempt = newAttempt();
                Request request = new Request(attempt, attempt, "POST", "/advice/", PATIENT_MILLIS);
                caller.send(request, Pace.FAST);
            }
        }
        List<StutterRun> runs = bench.takeRuns();
        assertTrue(runs.stream().anyMatch(r -> r.earlier() > 0), runs.toString());
    }

    // Sends pairs of requests, and one behind a pair where bytes may be left.
    private void play(
            Arrival arrival, Headers headers, boolean sameId, String method, String nextMethod)
            throws IOException {
        List<Received> answers = new ArrayList<>();
        List<StutterRun> runs;
        try (KeptCaller caller = new KeptCaller(bench.fixture().caller().port())) {
            for (Answer first : ANSWERS) {
                for (int cut : cuts(first == Answer.STREAM ? STREAM_BYTES : PLAIN_BYTES)) {
                    Answer next = ANSWERS.get(random.nextInt(ANSWERS.size()));
                    String id = newAttempt();
                    Stutter stutter = new Stutter(first, headers, arrival, cut, EVENT_BYTES);
                    answers.add(send(caller, id, id, method, stutter));
                    String attempt = newAttempt();
                    Stutter then =
                            new Stutter(next, Headers.ID_FIRST, Arrival.NEVER, 0, EVENT_BYTES);
                    String nextId = sameId ? id : attempt;
                    answers.add(send(caller, attempt, nextId, nextMethod, then));
                    if (arrival == Arrival.AROUND_NEXT) {
                        String last = newAttempt();
                        answers.add(send(caller, last, last, "GET", PLAIN));
                    }
                }
            }
            runs = bench.takeRuns();
            assertEquals(caller.unasked(), List.of());
        }
        StutterJudge judge = new StutterJudge(runs);
        answers.forEach(judge::judge);
        assertEquals(String.join("\n", judge.violations()), "");
        assertTrue(answers.stream().anyMatch(r -> r.status() == 200), "no request was served");
    }

    // Half of the cuts that are drawn leave the copy whole.
    private int[] cuts(int bytes) {
        return CUTS == 0
                ? IntStream.rangeClosed(0, bytes).toArray()
                : random.ints(CUTS, 1, 2 * bytes).toArray();
    }

    private Received send(
            KeptCaller caller, String attempt, String id, String method, Stutter stutter)
            throws IOException {
        bench.choose(attempt, stutter);
        String prefix = method.equals("POST") ? "/advice/" : "/read/";
        Request request = new Request(attempt, id, method, prefix, DEADLINE_MILLIS);
        return caller.send(request, Pace.FAST);
    }

    private String newAttempt() {
        sendings++;
        return "a" + sendings;
    }
}
