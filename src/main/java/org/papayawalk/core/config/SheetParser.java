package org.papayawalk.core.config;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.papayawalk.core.id.FleetId;

/**
 * Parses and validates the planners' sheet, a CSV file. A sheet with any error is rejected
 * completely. Stateless; thread-safe.
 */
public final class SheetParser {
    // Spreadsheet programs write it at the start of UTF-8 files.
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /**
     * Parses a sheet.
     *
     * @param text content of the CSV file
     * @return its rows, or all errors found
     */
    public Either<List<SheetFault>, List<FleetSpec>> parse(String text) {
        String body = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        try (CSVParser parser = CSVParser.parse(new StringReader(body), format(body))) {
            List<SheetFault> faults = headerFaults(parser.getHeaderNames());
            if (!faults.isEmpty()) {
                return Either.left(faults);
            }
            return parseRows(parser);
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            return Either.left(
                    List.of(new SheetFault(0, "", "cannot parse as CSV: " + e.getMessage())));
        }
    }

    // Detects the separator from the header line: comma, else semicolon, else tab.
    private static CSVFormat format(String body) {
        String header = body.lines().findFirst().orElse("");
        char separator = ',';
        if (header.indexOf(',') < 0 && header.indexOf(';') >= 0) {
            separator = ';';
        } else if (header.indexOf(',') < 0 && header.indexOf('\t') >= 0) {
            separator = '\t';
        }
        return CSVFormat.DEFAULT
                .builder()
                .setDelimiter(separator)
                .setHeader()
                .setSkipHeaderRecord(true)
                .setIgnoreEmptyLines(true)
                .setTrim(true)
                .get();
    }

    // Returns an error for each column that the header line lacks and for each unknown one.
    private static List<SheetFault> headerFaults(List<String> names) {
        List<SheetFault> faults = new ArrayList<>();
        List<String> known = SheetColumn.headers();
        for (String header : known) {
            if (!names.contains(header)) {
                faults.add(new SheetFault(1, header, "column is missing from the header line"));
            }
        }
        for (String name : names) {
            if (!known.contains(name)) {
                String expected = String.join(", ", known);
                faults.add(new SheetFault(1, name, "unknown column; expected one of " + expected));
            }
        }
        return faults;
    }

    // The parser must be positioned after the header line.
    private static Either<List<SheetFault>, List<FleetSpec>> parseRows(CSVParser parser) {
        List<SheetFault> faults = new ArrayList<>();
        List<FleetSpec> rows = new ArrayList<>();
        Map<FleetId, Long> lines = new HashMap<>();
        for (CSVRecord row : parser) {
            SheetRowParser rowParser = new SheetRowParser(row, parser.getCurrentLineNumber());
            FleetSpec spec = rowParser.parse();
            faults.addAll(rowParser.faults());
            if (spec == null) {
                continue;
            }
            Long earlier = lines.putIfAbsent(spec.fleet(), rowParser.line());
            if (earlier != null) {
                String reason = "duplicate fleet \"%s\", first listed in line %d";
                String message = reason.formatted(spec.fleet(), earlier);
                faults.add(new SheetFault(rowParser.line(), SheetColumn.FLEET.header(), message));
            }
            rows.add(spec);
        }
        if (rows.isEmpty() && faults.isEmpty()) {
            faults.add(
                    new SheetFault(
                            0,
                            "",
                            "sheet has no rows; expected at least one below the header line"));
        }
        return faults.isEmpty() ? Either.right(rows) : Either.left(faults);
    }
}
