package org.papayawalk.core.config;

/**
 * Validation error of a sheet, with its location. Printed as JSON under its component names.
 * Immutable.
 *
 * @param line line number in the file, starting at 1; 0 for an error of the whole sheet
 * @param column name of the column, empty for an error of the whole line
 * @param reason description of the error, with the value found and the value expected
 */
public record SheetFault(long line, String column, String reason) {
    @Override
    public String toString() {
        return "line %d, column \"%s\": %s".formatted(line, column, reason);
    }
}
