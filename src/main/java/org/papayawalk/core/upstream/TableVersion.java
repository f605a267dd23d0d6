package org.papayawalk.core.upstream;

import java.util.Comparator;
import org.papayawalk.core.id.StoreEra;

/**
 * Version of a table of the store. Ordered by era first, because a store that was restored from an
 * older copy reuses version numbers. Immutable.
 *
 * @param era era of the store in which the number was given out
 * @param number version within the era, 0 before the first read
 */
public record TableVersion(StoreEra era, long number) implements Comparable<TableVersion> {
    /** Version of a replica before its first read. */
    public static final TableVersion UNREAD = new TableVersion(StoreEra.INITIAL, 0);

    private static final Comparator<TableVersion> ORDER =
            Comparator.comparing(TableVersion::era).thenComparingLong(TableVersion::number);

    /**
     * Returns whether no version has been read yet.
     *
     * @return true if this is {@link #UNREAD}
     */
    public boolean isUnread() {
        return equals(UNREAD);
    }

    @Override
    public int compareTo(TableVersion other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
