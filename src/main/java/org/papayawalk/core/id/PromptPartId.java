package org.papayawalk.core.id;

/**
 * Identifies a part of a prompt that several requests may share. Immutable.
 *
 * @param value text that is equal for equal parts, not empty
 */
public record PromptPartId(String value) {

    /**
     * Validates the text.
     *
     * @throws IllegalArgumentException if the value is null or empty
     */
    public PromptPartId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("id of a prompt part is missing or empty");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
