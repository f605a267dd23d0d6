package org.papayawalk.core.desired;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.RegionId;

/**
 * Regions in which requests may be served. Immutable.
 *
 * @param regions regions, possibly none; empty if every region is allowed
 */
public record Homes(Optional<Set<RegionId>> regions) {
    /** Homes that allow every region. */
    public static final Homes ANYWHERE = new Homes(Optional.empty());

    /** Copies the regions. */
    public Homes {
        regions = regions.map(Set::copyOf);
    }

    /**
     * Creates homes.
     *
     * @param regions the only regions that are allowed
     * @return homes
     */
    public static Homes of(Set<RegionId> regions) {
        return new Homes(Optional.of(regions));
    }

    /**
     * Returns whether requests may be served in a region.
     *
     * @param region region of an upstream
     * @return true if the region is one of these, or if every region is allowed
     */
    public boolean allow(RegionId region) {
        return regions.isEmpty() || regions.get().contains(region);
    }

    /**
     * Returns the homes that satisfy both.
     *
     * @param other further homes
     * @return regions that both allow
     */
    public Homes and(Homes other) {
        if (regions.isEmpty() || other.regions.isEmpty()) {
            return regions.isEmpty() ? other : this;
        }
        Set<RegionId> both = new HashSet<>(regions.get());
        both.retainAll(other.regions.get());
        return of(both);
    }
}
