package org.papayawalk.daemon.standalone.entry;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.PromptPartId;

/**
 * Parts of the prompt of a chat that other requests may share: all of its messages but the last.
 * Bounded in number and length, as they are told to all entries. Stateless; thread-safe.
 */
final class PromptParts {
    /** Largest number of parts of one request; parts after them are not told apart. */
    static final int MAX_PARTS = 128;

    private static final int MAX_ID_CHARACTERS = 64;

    private PromptParts() {}

    /**
     * Returns the parts of a chat.
     *
     * @param messages messages of the chat as parsed from JSON
     * @return ids by role and content of all messages but the last, distinct and in their order; a
     *     message without content is no part
     */
    static List<PromptPartId> of(List<?> messages) {
        return messages.subList(0, Math.max(0, messages.size() - 1)).stream()
                .filter(m -> m instanceof Map<?, ?> fields && fields.get("content") != null)
                .map(m -> id((Map<?, ?>) m))
                .distinct()
                .limit(MAX_PARTS)
                .toList();
    }

    /**
     * Returns the parts that a message of a peer lists.
     *
     * @param ids ids as received
     * @return valid ids, bounded in number
     */
    static List<PromptPartId> ofMessage(Collection<String> ids) {
        return ids.stream()
                .filter(id -> !id.isEmpty() && id.length() <= MAX_ID_CHARACTERS)
                .limit(MAX_PARTS)
                .map(PromptPartId::new)
                .toList();
    }

    private static PromptPartId id(Map<?, ?> message) {
        byte[] data = Json.write(Arrays.asList(message.get("role"), message.get("content")));
        return new PromptPartId(Digest.of(data).shortText());
    }
}
