package org.papayawalk.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * SHA-256 digest in lower-case hexadecimal, or {@link #NONE}. Immutable.
 *
 * @param value 64 lower-case hexadecimal digits, or empty for {@link #NONE}
 */
public record Digest(@JsonValue String value) implements Comparable<Digest> {
    /** Absence of a digest. */
    public static final Digest NONE = new Digest("");

    private static final int HEX_DIGITS = 64;

    private static final int SHORT_HEX_DIGITS = 12;

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the value is neither 64 lower-case hexadecimal digits nor
     *     empty
     */
    @JsonCreator
    public Digest {
        if (value == null || !isValid(value)) {
            throw new IllegalArgumentException(
                    "digest \"%s\" is invalid; expected 64 lower-case hexadecimal digits"
                            .formatted(value));
        }
    }

    /**
     * Computes the digest of a byte array.
     *
     * @param data bytes to hash, may be empty
     * @return SHA-256 digest
     */
    public static Digest of(byte[] data) {
        return finish(newSha256(), data);
    }

    /**
     * Creates a hash function for data that is processed in parts; see {@link #finish}.
     *
     * @return SHA-256 hash function without input
     */
    public static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime lacks the SHA-256 hash function", e);
        }
    }

    /**
     * Completes a hash computation.
     *
     * @param hash hash function with the data so far; it is reset
     * @param last last bytes of the data, may be empty
     * @return SHA-256 digest of all data
     */
    public static Digest finish(MessageDigest hash, byte[] last) {
        return new Digest(HexFormat.of().formatHex(hash.digest(last)));
    }

    /**
     * Returns whether there is a digest.
     *
     * @return false for {@link #NONE}, else true
     */
    public boolean isPresent() {
        return !value.isEmpty();
    }

    /**
     * Returns an abbreviated form for logs.
     *
     * @return the first 12 digits, or {@code none} for {@link #NONE}
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

    private static boolean isValid(String text) {
        return text.isEmpty()
                || (text.length() == HEX_DIGITS
                        && text.chars()
                                .allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')));
    }
}
