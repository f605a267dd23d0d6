package org.papayawalk.lab.standin;

import java.nio.charset.StandardCharsets;
import org.papayawalk.core.id.Digest;

/**
 * Text that an engine stand-in generates. It depends only on the version and the prompt, so that a
 * check can compute the expected text. Stateless; thread-safe.
 */
public final class EngineText {
    // Without the space that ends a token.
    private static final int TOKEN_CHARS = 6;

    private EngineText() {}

    /**
     * Returns one token of a text.
     *
     * @param version version that is served
     * @param prompt text of the messages
     * @param index index of the token, from 0
     * @return six hexadecimal digits and a space
     */
    public static String token(Digest version, String prompt, int index) {
        String source = version + "/" + prompt + "/" + index;
        Digest sum = Digest.of(source.getBytes(StandardCharsets.UTF_8));
        return sum.value().substring(0, TOKEN_CHARS) + " ";
    }

    /**
     * Returns a whole text from its first token on.
     *
     * @param version version that is served
     * @param prompt text of the messages
     * @param tokens number of tokens
     * @return concatenated tokens, empty for 0 tokens
     */
    public static String text(Digest version, String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(version, prompt, i));
        }
        return text.toString();
    }
}
