package org.papayawalk.core.desired;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.TeamId;
import org.testng.annotations.Test;

/** Decides requests against a small desired state. */
public final class RequestAuthorizerTest {
    /** Service of the short prefix. */
    private static final ServiceId GENERAL = new ServiceId("general");

    /** Service of the long prefix. */
    private static final ServiceId SPECIAL = new ServiceId("special");

    /** The longest prefix that begins the path decides, whatever the order of the routes. */
    @Test
    public void longestPrefixDecides() {
        DesiredState state = state(route("/a/", GENERAL, false), route("/a/b/", SPECIAL, false));
        assertEquals(service(state, "shop.example", "/a/b/c?x=/z/"), SPECIAL);
        assertEquals(service(state, "SHOP.example:8080", "/a/bc"), GENERAL);
    }

    /** A request to an unknown host, or beside every prefix, has no route. */
    @Test
    public void requestBesideEveryRouteIsDenied() {
        DesiredState state = state(route("/a/", GENERAL, false));
        assertEquals(denial(state, "other.example", "/a/x", Optional.of("k")), Denial.NO_ROUTE);
        assertEquals(denial(state, "shop.example", "/a", Optional.of("k")), Denial.NO_ROUTE);
        assertEquals(denial(state, null, "/a/x", Optional.of("k")), Denial.NO_ROUTE);
    }

    /** A key that no team holds is denied, unless the route is open to anyone. */
    @Test
    public void unknownKeyIsDeniedUnlessRouteIsOpen() {
        DesiredState closed = state(route("/a/", GENERAL, false));
        assertEquals(denial(closed, "shop.example", "/a/x", Optional.empty()), Denial.KEY_UNKNOWN);
        assertEquals(denial(closed, "shop.example", "/a/x", Optional.of("z")), Denial.KEY_UNKNOWN);
        DesiredState open = state(route("/a/", GENERAL, true));
        assertTrue(decide(open, "shop.example", "/a/x", Optional.empty()).isRight());
    }

    /** The rank of the team goes before that of the route. */
    @Test
    public void teamRankGoesBeforeRouteRank() {
        DesiredState state = state(route("/a/", GENERAL, false));
        AuthorizedRequest call = decide(state, "shop.example", "/a/x", Optional.of("k")).get();
        assertEquals(call.priority(), 1);
    }

    /** Draws spread over services by their weights. */
    @Test
    public void drawsFollowWeights() {
        RouteRule split =
                new RouteRule(
                        "r",
                        "shop.example",
                        "/",
                        RequestKind.SAFE,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(100),
                        5,
                        List.of(new TrafficShare(GENERAL, 90), new TrafficShare(SPECIAL, 10)),
                        2,
                        false,
                        false);
        assertEquals(split.chooseService(0.0), GENERAL);
        assertEquals(split.chooseService(0.89), GENERAL);
        assertEquals(split.chooseService(0.91), SPECIAL);
        assertEquals(split.chooseService(0.999999), SPECIAL);
    }

    /**
     * Makes a route of the shop.
     *
     * @param prefix prefix and name
     * @param service service
     * @param open whether it needs no key
     * @return route
     */
    private static RouteRule route(String prefix, ServiceId service, boolean open) {
        return new RouteRule(
                prefix,
                "shop.example",
                prefix,
                RequestKind.SAFE,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                5,
                List.of(new TrafficShare(service, 1)),
                2,
                open,
                false);
    }

    /**
     * Makes a desired state with one key.
     *
     * @param routes routes
     * @return desired state
     */
    private static DesiredState state(RouteRule... routes) {
        Caller caller = new Caller(new TeamId("bakers"), OptionalInt.of(1));
        return new DesiredState(
                1,
                new RouteTable(List.of(routes)),
                Map.of(),
                CallerLimits.DEFAULT,
                true,
                Map.of("k", caller));
    }

    /**
     * Decides a request.
     *
     * @param state desired state
     * @param host host
     * @param target path and query
     * @param key key
     * @return decision
     */
    private static Either<Denial, AuthorizedRequest> decide(
            DesiredState state, String host, String target, Optional<String> key) {
        return RequestAuthorizer.authorize(state, host, target, key, 0.5);
    }

    /**
     * Returns the service of a request with the known key.
     *
     * @param state desired state
     * @param host host
     * @param target path and query
     * @return service
     */
    private static ServiceId service(DesiredState state, String host, String target) {
        return decide(state, host, target, Optional.of("k")).get().service();
    }

    /**
     * Returns why a request is denied.
     *
     * @param state desired state
     * @param host host
     * @param target path and query
     * @param key key
     * @return denial
     */
    private static Denial denial(
            DesiredState state, String host, String target, Optional<String> key) {
        return decide(state, host, target, key).getLeft();
    }
}
