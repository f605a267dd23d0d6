package org.papayawalk.daemon.managed.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.StutterRun;
import org.papayawalk.daemon.managed.entry.KeptCaller.Received;
import org.papayawalk.daemon.managed.entry.KeptCaller.Request;

/**
 * Compares what callers received with what servers answered to the same sending of the request.
 * Confined to one thread.
 */
final class StutterJudge {
    private static final int OK = 200;

    /** Statuses that state that a request has not run and never will. */
    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private static final String EVENT_END = "\n\n";

    private final Map<String, List<StutterRun>> runs;

    private final List<String> violations = new ArrayList<>();

    /**
     * Creates a judge.
     *
     * @param runs all runs at all servers
     */
    StutterJudge(List<StutterRun> runs) {
        this.runs = runs.stream().collect(Collectors.groupingBy(StutterRun::attempt));
    }

    /**
     * Judges one answer.
     *
     * @param received answer, or its absence
     */
    void judge(Received received) {
        Request request = received.request();
        List<StutterRun> own = runs.getOrDefault(request.attempt(), List.of());
        long executions = own.stream().filter(StutterRun::executed).count();
        boolean idempotent = !request.prefix().equals("/pay/");
        check(idempotent || executions <= 1, received, "ran " + executions + " times");
        if (received.status() == 0) {
            return;
        }
        boolean notRun = NOT_RUN_STATUSES.contains(received.status());
        check(idempotent || !notRun || executions == 0, received, "has run");
        String stamp = received.headers().get("x-server-stamp");
        String id = received.headers().get("x-request-id");
        // A server may name no request in a failure.
        boolean ownId = id == null ? stamp != null : id.equals(request.id());
        check(ownId, received, "has the id " + id);
        if (stamp == null) {
            boolean success = received.status() >= OK && received.status() < 300;
            check(!success && received.body().isEmpty(), received, "comes from no server");
            return;
        }
        Optional<StutterRun> run = own.stream().filter(r -> r.stamp().equals(stamp)).findFirst();
        if (run.isEmpty()) {
            check(false, received, "belongs to another sending");
        } else {
            compare(received, run.get(), own);
        }
    }

    /**
     * Returns what was found.
     *
     * @return descriptions, none if all answers are right
     */
    List<String> violations() {
        return violations;
    }

    private void compare(Received received, StutterRun run, List<StutterRun> own) {
        check(received.status() == run.status(), received, "server said " + run.status());
        if (received.request().method().equals("HEAD")) {
            return;
        }
        boolean streamed = received.request().prefix().equals("/advice/") && run.status() == OK;
        if (streamed && run.body().endsWith(EVENT_END)) {
            checkEvents(received, run, own);
        } else if (received.complete()) {
            check(received.body().equals(run.body()), received, "server sent " + run.body());
        } else {
            check(run.body().startsWith(received.body()), received, "server sent " + run.body());
        }
    }

    // A stream may go on with the events of another run that was asked for those behind the last.
    private void checkEvents(Received received, StutterRun first, List<StutterRun> own) {
        StutterRun run = first;
        int count = 0;
        String body = received.body();
        for (int end = body.indexOf(EVENT_END); end >= 0; end = body.indexOf(EVENT_END)) {
            String event = body.substring(0, end + EVENT_END.length());
            body = body.substring(event.length());
            int index = count;
            if (!isEvent(run, index, event)) {
                Optional<StutterRun> next =
                        own.stream()
                                .filter(r -> r.after() == index && isEvent(r, index, event))
                                .findFirst();
                check(next.isPresent(), received, "event " + (index + 1) + " is foreign");
                if (next.isEmpty()) {
                    return;
                }
                run = next.get();
            }
            count++;
        }
        boolean whole = count == FakeUpstream.EVENTS && body.isEmpty();
        check(whole || !received.complete(), received, "ends after event " + count);
    }

    private static boolean isEvent(StutterRun run, int index, String event) {
        int i = index - run.after();
        return run.status() == OK
                && i >= 0
                && i < run.events().size()
                && run.events().get(i).equals(event);
    }

    private void check(boolean right, Received received, String message) {
        if (!right) {
            String body = received.body();
            violations.add(
                    "%s %s: %d %s '%s': %s"
                            .formatted(
                                    received.request().method(),
                                    received.request().attempt(),
                                    received.status(),
                                    received.headers().get("x-server-stamp"),
                                    body.substring(0, Math.min(body.length(), 80)),
                                    message));
        }
    }
}
