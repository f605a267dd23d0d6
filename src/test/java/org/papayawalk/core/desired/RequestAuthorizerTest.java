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

/** Tests {@link RequestAuthorizer}. */
public final class RequestAuthorizerTest {
    // Service of the route with the shorter prefix.
    private static final ServiceId GENERAL = new ServiceId("general");

    // Service of the route with the longer prefix.
    private static final ServiceId SPECIAL = new ServiceId("special");

    /** The route with the longest matching prefix is used, whatever the order of the routes. */
    @Test
    public void routeWithLongestPrefixIsUsed() {
        DesiredState state = state(route("/a/", GENERAL, false), route("/a/b/", SPECIAL, false));
        assertEquals(service(state, "shop.example", "/a/b/c?x=/z/"), SPECIAL);
        assertEquals(service(state, "SHOP.example:8080", "/a/bc"), GENERAL);
    }

    /**
     * A request with an unknown or missing host, or a path without a matching prefix, is denied.
     */
    @Test
    public void requestWithoutMatchingRouteIsDenied() {
        DesiredState state = state(route("/a/", GENERAL, false));
        assertEquals(denial(state, "other.example", "/a/x", Optional.of("k")), Denial.NO_ROUTE);
        assertEquals(denial(state, "shop.example", "/a", Optional.of("k")), Denial.NO_ROUTE);
        assertEquals(denial(state, null, "/a/x", Optional.of("k")), Denial.NO_ROUTE);
    }

    /** A missing or unknown API key is denied, unless the route allows anonymous requests. */
    @Test
    public void unknownKeyIsDeniedUnlessRouteAllowsAnonymousRequests() {
        DesiredState keyed = state(route("/a/", GENERAL, false));
        assertEquals(denial(keyed, "shop.example", "/a/x", Optional.empty()), Denial.KEY_UNKNOWN);
        assertEquals(denial(keyed, "shop.example", "/a/x", Optional.of("z")), Denial.KEY_UNKNOWN);
        DesiredState anonymous = state(route("/a/", GENERAL, true));
        assertTrue(authorize(anonymous, "shop.example", "/a/x", Optional.empty()).isRight());
    }

    /** The priority of the team overrides that of the route. */
    @Test
    public void teamPriorityOverridesRoutePriority() {
        DesiredState state = state(route("/a/", GENERAL, false));
        AuthorizedRequest request =
                authorize(state, "shop.example", "/a/x", Optional.of("k")).get();
        assertEquals(request.priority(), 1);
    }

    /** Each service is selected for a share of random numbers in proportion to its weight. */
    @Test
    public void serviceIsSelectedInProportionToWeight() {
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

    private static RouteRule route(String prefix, ServiceId service, boolean allowsAnonymous) {
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
                allowsAnonymous,
                false);
    }

    // Creates a desired state in which team "bakers" holds the only API key, "k".
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

    private static Either<Denial, AuthorizedRequest> authorize(
            DesiredState state, String host, String target, Optional<String> key) {
        return RequestAuthorizer.authorize(state, host, target, key, 0.5);
    }

    // Returns the service of a request that carries the valid key.
    private static ServiceId service(DesiredState state, String host, String target) {
        return authorize(state, host, target, Optional.of("k")).get().service();
    }

    private static Denial denial(
            DesiredState state, String host, String target, Optional<String> key) {
        return authorize(state, host, target, key).getLeft();
    }
}
