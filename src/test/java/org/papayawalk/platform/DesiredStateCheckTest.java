package org.papayawalk.platform;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.DesiredStateCheck;
import org.papayawalk.core.desired.DesiredStateDifference;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks desired states of which one thing is wrong, and compares those that differ in one. */
public final class DesiredStateCheckTest {
    private static final String SOUND =
            """
            {"version":2,"routes":[
            {"name":"read","host":"h","prefix":"/read/","kind":"safe","timeoutMs":3000,
             "targetLatencyMs":500,"service":"desk","maxAttempts":2},
            {"name":"pay","host":"h","prefix":"/pay/","kind":"non_idempotent","timeoutMs":1500,
             "targetLatencyMs":500,"service":"desk","maxAttempts":1,
             "allowedRegions":["luzon","visayas"]}],
            "services":[{"name":"desk","maxConnections":50}],
            "limits":{"headerTimeoutMs":400,"idleTimeoutMs":15000},
            "tenants":[{"name":"bakers","apiKeys":["k"],"allowedRegions":["luzon"]}]}
            """;

    /**
     * Returns changes of a sound desired state.
     *
     * @return rows of a text, its replacement, and the subject and text of the only finding
     */
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                "/pay/",
                "/read/",
                "route \"pay\": never matches, as route \"read\" has the same host" + " and prefix"
            },
            {
                "\"host\":\"h\",\"prefix\":\"/read/\"",
                "\"prefix\":\"/read/\"",
                "route \"read\": never matches, as it has no host"
            },
            {
                "/read/",
                "/read",
                "route \"read\": prefix \"/read\" does not begin and end with a" + " slash"
            },
            {
                "\"desk\",\"maxAttempts\":1",
                "\"desks\",\"maxAttempts\":1",
                "route \"pay\": sends requests to service \"desks\", which is not listed"
            },
            {
                "\"timeoutMs\":3000",
                "\"timeoutMs\":300",
                "route \"read\": targets 500 ms, but requests end after 300 ms"
            },
            {
                "\"timeoutMs\":3000",
                "\"timeoutMs\":0",
                "route \"read\": leaves no time: its timeout is not above 0"
            },
            {
                "\"maxAttempts\":1",
                "\"maxAttempts\":3",
                "route \"pay\": allows 3 attempts, but its requests may run only once"
            },
            {
                "\"maxAttempts\":2",
                "\"maxAttempts\":2,\"resumeStreams\":true",
                "route \"read\": resumes streams, but has none"
            },
        };
    }

    /**
     * Returns further changes of a sound desired state.
     *
     * @return rows of a text, its replacement, and the subject and text of the only finding
     */
    @DataProvider
    public Object[][] faultsOfOthers() {
        return new Object[][] {
            {
                "[\"luzon\"]",
                "[\"mindanao\"]",
                "team \"bakers\": its requests on route \"pay\" may be served in no region"
            },
            {
                "[{\"name\":\"desk\"",
                "[{\"name\":\"till\"},{\"name\":\"desk\"",
                "service \"till\": no route leads to it"
            },
            {
                "\"maxConnections\":50",
                "\"coldS\":3",
                "service \"desk\": its servers get nothing" + " while they are cold"
            },
            {
                "\"headerTimeoutMs\":400",
                "\"headerTimeoutMs\":16000",
                "limits: a head may take longer than an idle connection lasts"
            },
            {
                "\"headerTimeoutMs\":400",
                "\"headerTimeoutMs\":0",
                "limits: a timeout of 0 ends every connection"
            },
            {
                "\"headerTimeoutMs\":400",
                "\"maxHeaderBytes\":0",
                "limits: no request has a head of 0" + " bytes"
            },
            {"[\"k\"]", "[]", "teams: no team has a key, so no request has one"},
        };
    }

    /**
     * Each fault gives one finding.
     *
     * @param text text of the sound desired state
     * @param replacement what stands in its place
     * @param finding subject and text of the finding
     * @throws IOException if the desired state cannot be decoded
     */
    @Test(dataProvider = "faults")
    public void faultIsFound(String text, String replacement, String finding) throws IOException {
        assertEquals(findings(SOUND.replace(text, replacement)), List.of(finding));
    }

    /**
     * Each fault of homes, services and limits gives one finding.
     *
     * @param text text of the sound desired state
     * @param replacement what stands in its place
     * @param finding subject and text of the finding
     * @throws IOException if the desired state cannot be decoded
     */
    @Test(dataProvider = "faultsOfOthers")
    public void faultOfOthersIsFound(String text, String replacement, String finding)
            throws IOException {
        faultIsFound(text, replacement, finding);
    }

    /**
     * A sound desired state gives none.
     *
     * @throws IOException if the desired state cannot be decoded
     */
    @Test
    public void soundDesiredStateIsSound() throws IOException {
        assertEquals(findings(SOUND), List.of());
    }

    /**
     * Returns changes of the desired state in force.
     *
     * @return rows of a text, its replacement and the expected difference
     */
    @DataProvider
    public Object[][] changes() {
        return new Object[][] {
            {"\"timeoutMs\":1500", "\"timeoutMs\":1600", "route \"pay\" changed"},
            {"\"name\":\"pay\"", "\"name\":\"pays\"", "route \"pay\" removed"},
            {
                "[{\"name\":\"desk\"",
                "[{\"name\":\"till\"},{\"name\":\"desk\"",
                "service \"till\" added"
            },
            {"[\"k\"]", "[\"k2\"]", "team \"bakers\" changed"},
            {"[\"luzon\"]", "[]", "team \"bakers\" changed"},
            {"\"version\":3", "\"version\":2", "version 2 is not above 2: it would be ignored"},
        };
    }

    /**
     * Each change is told, without keys.
     *
     * @param text text of the desired state in force
     * @param replacement what stands in its place
     * @param difference first line expected
     * @throws IOException if the desired state cannot be decoded
     */
    @Test(dataProvider = "changes")
    public void changeIsTold(String text, String replacement, String difference)
            throws IOException {
        String after = SOUND.replace("\"version\":2", "\"version\":3").replace(text, replacement);
        List<String> lines = DesiredStateDifference.between(decode(SOUND), decode(after));
        assertEquals(lines.get(0), difference);
    }

    private static List<String> findings(String text) throws IOException {
        return DesiredStateCheck.check(decode(text)).stream()
                .map(f -> f.subject() + ": " + f.text())
                .toList();
    }

    private static DesiredState decode(String text) throws IOException {
        return DesiredStateCodec.decode(text.getBytes(StandardCharsets.UTF_8)).desired();
    }
}
