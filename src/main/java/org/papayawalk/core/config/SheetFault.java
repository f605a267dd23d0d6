package org.papayawalk.core.config;

/**
 * Reason why a sheet cannot be accepted, with its place. Immutable.
 *
 * @param line line in the file, from 1; 0 for the whole sheet
 * @param column name of the column, empty for the whole line
 * @param reason what is wrong and what is expected
 */
public record SheetFault(long line, String column, String reason) {
    @Override
    public String toString() {
        return "line %d, column \"%s\": %s".formatted(line, column, reason);
    }
}
