package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.Homes;
import org.papayawalk.core.desired.RequestAuthorizer;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decodes homes of routes and teams, and the rates of cold upstreams, also odd ones. */
public final class DesiredStateHomesTest {
    private static final String STATE =
            """
            {"version":1,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe",
             "service":"s"%s}],"services":[{"name":"s"%s}],
             "tenants":[{"name":"t","apiKeys":["k"]%s}]}
            """;

    /**
     * Returns homes of a route, of a team and of both.
     *
     * @return rows of two JSON values and the names of the regions, empty without homes
     */
    @DataProvider
    public Object[][] homes() {
        return new Object[][] {
            {"", "", Optional.empty()},
            {"[]", "[]", Optional.empty()},
            {"[\"luzon\"]", "", Optional.of(Set.of("luzon"))},
            {"", "[\"visayas\"]", Optional.of(Set.of("visayas"))},
            {"[\"luzon\",\"visayas\"]", "[\"visayas\",\"x\"]", Optional.of(Set.of("visayas"))},
            {"[\"luzon\"]", "[\"visayas\"]", Optional.of(Set.of())},
            {"[\"luzon\",\"luzon\",7]", "[]", Optional.of(Set.of("luzon", "7"))},
            {"[\"luzon\",\"\",null,\"two words\"]", "[]", Optional.of(Set.of("luzon", "null"))},
            {"[\"\"]", "[]", Optional.of(Set.of())},
            {"\"luzon\"", "{}", Optional.empty()},
        };
    }

    /**
     * Both bind where both are there, and an odd name names nothing.
     *
     * @param route homes of the route
     * @param team homes of the team
     * @param regions names of the regions, empty if none binds
     * @throws IOException if the desired state is not accepted
     */
    @Test(dataProvider = "homes")
    public void homesOfRouteAndTeamBind(String route, String team, Optional<Set<String>> regions)
            throws IOException {
        DesiredState state =
                decode(
                        STATE.formatted(
                                field("allowedRegions", route), "", field("allowedRegions", team)));
        Homes expected = new Homes(regions.map(DesiredStateHomesTest::ids));
        assertEquals(RequestAuthorizer.homes(state, "h", "/a/x", Optional.of("k")), expected);
        assertEquals(
                RequestAuthorizer.authorize(state, "h", "/a/x", Optional.of("k"), 0).get().homes(),
                expected);
    }

    /**
     * Returns rates of cold upstreams.
     *
     * @return rows of fields and rate, negative if there is none
     */
    @DataProvider
    public Object[][] coldRates() {
        return new Object[][] {
            {"", -1},
            {",\"coldS\":0.0,\"coldPerS\":0.0", -1},
            {",\"coldS\":3.0,\"coldPerS\":15.0", 15},
            {",\"coldPerS\":2.5", 2.5},
            {",\"coldS\":3", 0},
            {",\"coldS\":3,\"coldPerS\":-4", 0},
            {",\"coldS\":\"x\",\"coldPerS\":[]", -1},
        };
    }

    /**
     * Decodes the rate of cold upstreams.
     *
     * @param fields fields of the service
     * @param perSecond requests per second, negative if there is no limit
     * @throws IOException if the desired state is not accepted
     */
    @Test(dataProvider = "coldRates")
    public void rateOfColdUpstreamsIsDecoded(String fields, double perSecond) throws IOException {
        assertEquals(
                decode(STATE.formatted("", fields, "")).coldPerSecond(new ServiceId("s")),
                perSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(perSecond));
    }

    private static String field(String name, String json) {
        return json.isEmpty() ? "" : ",\"" + name + "\":" + json;
    }

    private static Set<RegionId> ids(Set<String> names) {
        return names.stream().map(RegionId::new).collect(Collectors.toUnmodifiableSet());
    }

    private static DesiredState decode(String text) throws IOException {
        return DesiredStateCodec.decode(text.getBytes(StandardCharsets.UTF_8)).desired();
    }
}
