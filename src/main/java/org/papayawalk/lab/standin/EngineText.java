package org.papayawalk.lab.standin;

import java.nio.charset.StandardCharsets;
import org.papayawalk.core.id.Digest;

/**
 * Text that an engine stand-in generates. It follows from the prompt and the version alone, so a
 * checker can compute it. Holds no state; safe from any thread.
 */
public final class EngineText {
    /** Characters of a token. */
    private static final int TOKEN_CHARS = 6;

    /** Prevents instances. */
    private EngineText() {}

    /**
     * Returns a token.
     *
     * @param version version that is served
     * @param prompt text of the messages
     * @param index index of the token, from 0
     * @return the token
     */
    public static String token(Digest version, String prompt, int index) {
        String source = version + "/" + prompt + "/" + index;
        Digest sum = Digest.of(source.getBytes(StandardCharsets.UTF_8));
        return sum.value().substring(0, TOKEN_CHARS) + " ";
    }

    /**
     * Returns a whole text.
     *
     * @param version version that is served
     * @param prompt text of the messages
     * @param tokens number of tokens
     * @return the text
     */
    public static String text(Digest version, String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(version, prompt, i));
        }
        return text.toString();
    }
}
