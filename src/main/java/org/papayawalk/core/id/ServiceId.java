package org.papayawalk.core.id;

/**
 * Name of a service, unique in a deployment. Immutable.
 *
 * @param value name as in the desired state, not empty; any characters
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is null or empty
     */
    public ServiceId {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("service name is missing or empty");
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
