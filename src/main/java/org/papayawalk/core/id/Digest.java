package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest in lower-case hexadecimal, or {@link #NONE}. Immutable; equal by text.
 *
 * @param value 64 hexadecimal digits, or empty for none
 */
public record Digest(@JsonValue String value) implements Comparable<Digest> {
    /** Stands for the absence of a digest. */
    public static final Digest NONE = new Digest("");

    /** Hexadecimal digits of a digest. */
    private static final int HEX_DIGITS = 64;

    /** Digits that {@link #shortText()} keeps. */
    private static final int SHORT_HEX_DIGITS = 12;

    /**
     * Checks the text.
     *
     * @param value text of the digest
     * @throws IllegalArgumentException if the text is not 64 hexadecimal digits or empty
     */
    @JsonCreator
    public Digest {
        if (value == null || !wellFormed(value)) {
            throw new IllegalArgumentException(
                    "digest \"%s\" is not 64 lower-case hexadecimal digits".formatted(value));
        }
    }

    /**
     * Computes the digest of bytes.
     *
     * @param data bytes to digest
     * @return their SHA-256
     */
    public static Digest of(byte[] data) {
        return finish(newSha256(), data);
    }

    /**
     * Returns a new SHA-256 computation.
     *
     * @return an empty computation
     */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }

    /**
     * Ends a computation with its last bytes.
     *
     * @param computation computation to end
     * @param last last bytes, may be empty
     * @return the digest
     */
    public static Digest finish(MessageDigest computation, byte[] last) {
        return new Digest(HexFormat.of().formatHex(computation.digest(last)));
    }

    /**
     * Tells whether this is a digest rather than {@link #NONE}.
     *
     * @return true unless this is none
     */
    public boolean isPresent() {
        return !value.isEmpty();
    }

    /**
     * Returns the first digits, for people to read.
     *
     * @return at most 12 digits
     */
    public String shortText() {
        return isPresent() ? value.substring(0, SHORT_HEX_DIGITS) : "none";
    }

    @Override
    public int compareTo(Digest other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }

    /**
     * Tells whether a text is a digest or empty.
     *
     * @param text text to judge
     * @return true if it is
     */
    private static boolean wellFormed(String text) {
        return text.isEmpty()
                || (text.length() == HEX_DIGITS
                        && text.chars()
                                .allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')));
    }
}
