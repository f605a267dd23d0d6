package org.papayawalk.core.weight;

/**
 * Chunks that an earlier process had staged, as found in a search for one version. Immutable.
 *
 * @param searched manifest of the version
 * @param matching chunks of the version
 * @param other chunks that do not belong to the version
 * @param unread chunks that could not be read, so that it is not known whether they are staged
 */
public record StagedAtStart(Manifest searched, int matching, int other, int unread) {

    /**
     * Returns whether nothing was staged.
     *
     * @return true if no chunk was staged and all could be read
     */
    public boolean isEmpty() {
        return matching + other + unread == 0;
    }

    /**
     * Returns whether the version searched for was staged completely.
     *
     * @return true if every chunk of it was found
     */
    public boolean isWhole() {
        return matching == searched.chunkCount();
    }

    /**
     * Returns whether a version other than the wanted one may be staged completely, so that there
     * may be an order for it. One chunk of the version searched for means that no other is.
     *
     * @param wanted manifest of the wanted version
     * @return false if nothing is staged, or only part of a version, or the wanted version
     */
    public boolean mayBeOtherThan(Manifest wanted) {
        int chunks = searched.chunkCount();
        if (matching > 0) {
            return !wanted.equals(searched) && matching + unread == chunks;
        }
        return other > 0 || unread == chunks;
    }
}
