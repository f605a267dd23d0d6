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
 * Reads the planners' sheet and checks all of it. A sheet is taken whole or not at all. Holds no
 * state; safe from any thread.
 */
public final class SheetParser {
    /** Mark that spreadsheets write before UTF-8 text. */
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /**
     * Reads a sheet.
     *
     * @param text content of the CSV file
     * @return its rows, or every fault found
     */
    public Either<List<SheetFault>, List<FleetSpec>> parse(String text) {
        String body = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        try (CSVParser parser = CSVParser.parse(new StringReader(body), format(body))) {
            List<SheetFault> faults = headingFaults(parser.getHeaderNames());
            if (!faults.isEmpty()) {
                return Either.left(faults);
            }
            return readRows(parser);
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            return Either.left(List.of(new SheetFault(0, "", "not a CSV file: " + e.getMessage())));
        }
    }

    /**
     * Chooses the separator by the heading line.
     *
     * @param body text without a byte order mark
     * @return the format
     */
    private static CSVFormat format(String body) {
        String heading = body.lines().findFirst().orElse("");
        char separator = ',';
        if (heading.indexOf(',') < 0 && heading.indexOf(';') >= 0) {
            separator = ';';
        } else if (heading.indexOf(',') < 0 && heading.indexOf('\t') >= 0) {
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

    /**
     * Checks the heading line.
     *
     * @param names headings found
     * @return a fault for each heading missing or unknown
     */
    private static List<SheetFault> headingFaults(List<String> names) {
        List<SheetFault> faults = new ArrayList<>();
        List<String> known = SheetColumn.headers();
        for (String heading : known) {
            if (!names.contains(heading)) {
                faults.add(new SheetFault(1, heading, "the heading line lacks this column"));
            }
        }
        for (String name : names) {
            if (!known.contains(name)) {
                String expected = String.join(", ", known);
                faults.add(new SheetFault(1, name, "unknown column; expected " + expected));
            }
        }
        return faults;
    }

    /**
     * Reads and checks the rows.
     *
     * @param parser parser behind the heading line
     * @return the rows, or every fault found
     */
    private static Either<List<SheetFault>, List<FleetSpec>> readRows(CSVParser parser) {
        List<SheetFault> faults = new ArrayList<>();
        List<FleetSpec> rows = new ArrayList<>();
        Map<FleetId, Long> lines = new HashMap<>();
        for (CSVRecord row : parser) {
            SheetRowParser reader = new SheetRowParser(row, parser.getCurrentLineNumber());
            FleetSpec spec = reader.parse();
            faults.addAll(reader.faults());
            if (spec == null) {
                continue;
            }
            Long earlier = lines.putIfAbsent(spec.fleet(), reader.line());
            if (earlier != null) {
                String reason = "fleet \"%s\" already stands in line %d";
                String message = reason.formatted(spec.fleet(), earlier);
                faults.add(new SheetFault(reader.line(), SheetColumn.FLEET.header(), message));
            }
            rows.add(spec);
        }
        if (rows.isEmpty() && faults.isEmpty()) {
            faults.add(new SheetFault(0, "", "the sheet has no rows"));
        }
        return faults.isEmpty() ? Either.right(rows) : Either.left(faults);
    }
}
