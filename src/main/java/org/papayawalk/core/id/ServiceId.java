package org.papayawalk.core.id;

/**
 * Name of a service, unique in a deployment. Immutable; equal by text.
 *
 * @param value text as the desired state spells it, not empty
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /**
     * Checks the text.
     *
     * @param value text of the id
     * @throws IllegalArgumentException if the text is empty
     */
    public ServiceId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("service name is empty");
        }
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
