package org.papayawalk.daemon.standalone.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.id.PromptPartId;
import org.testng.annotations.Test;

/** Lists the parts of chats that other requests may share. */
public final class PromptPartsTest {
    private static final Object FIRST = message("system", "Answer in one line.");

    private static final Object SECOND = message("user", List.of(Map.of("text", "Price list")));

    private static final Object LAST = message("user", "What does the bread cost?");

    /** The last message belongs to the request itself. */
    @Test
    public void lastMessageIsNoPart() {
        assertEquals(PromptParts.of(List.of(LAST)), List.of());
        List<PromptPartId> parts = PromptParts.of(List.of(FIRST, SECOND, LAST));
        assertEquals(parts.size(), 2);
        assertEquals(PromptParts.of(List.of(SECOND, FIRST)), parts.subList(1, 2));
    }

    /** A part is recognized by its role and its content. */
    @Test
    public void differsByRoleAndContent() {
        PromptPartId part = PromptParts.of(List.of(FIRST, LAST)).get(0);
        Object otherRole = message("user", "Answer in one line.");
        Object otherContent = message("system", "Answer in two lines.");
        assertNotEquals(PromptParts.of(List.of(otherRole, LAST)).get(0), part);
        assertNotEquals(PromptParts.of(List.of(otherContent, LAST)).get(0), part);
    }

    /** A repeated message is one part; one without content and one of another shape are none. */
    @Test
    public void leavesOutRepeatsAndMessagesWithoutContent() {
        List<?> messages = List.of(FIRST, FIRST, Map.of("role", "assistant"), "text", 5, LAST);
        assertEquals(PromptParts.of(messages), PromptParts.of(List.of(FIRST, LAST)));
    }

    /** The number of parts is limited, as all entries are told of them. */
    @Test
    public void limitsNumber() {
        List<Object> messages = new ArrayList<>();
        for (int i = 0; i < 2 * PromptParts.MAX_PARTS; i++) {
            messages.add(message("user", "line " + i));
        }
        assertEquals(PromptParts.of(messages).size(), PromptParts.MAX_PARTS);
        assertTrue(PromptParts.of(messages).get(0).value().length() <= 16);
    }

    /** Ids of a peer are taken only if they are valid, and only so many. */
    @Test
    public void limitsWhatPeersTell() {
        List<String> told = new ArrayList<>(List.of("", "x".repeat(65), "part"));
        assertEquals(PromptParts.ofMessage(told), List.of(new PromptPartId("part")));
        for (int i = 0; i < 2 * PromptParts.MAX_PARTS; i++) {
            told.add("part-" + i);
        }
        assertEquals(PromptParts.ofMessage(told).size(), PromptParts.MAX_PARTS);
    }

    private static Object message(String role, Object content) {
        return Map.of("role", role, "content", content);
    }
}
