package org.papayawalk.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.apache.commons.csv.CSVRecord;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.TeamId;

/** Parses one row of a sheet and collects its errors. Not thread-safe; used once. */
final class SheetRowParser {
    private static final int MAX_LIMIT = 100_000;

    // Spreadsheet programs evaluate cells that start with these characters.
    private static final Pattern FORMULA = Pattern.compile("[=@].*");

    private static final String LIST_SEPARATOR = ";";

    private final CSVRecord row;

    private final long line;

    private final List<SheetFault> faults = new ArrayList<>();

    /**
     * Creates a parser.
     *
     * @param row row to parse
     * @param line number of the line in which the row ends, starting at 1
     */
    SheetRowParser(CSVRecord row, long line) {
        this.row = row;
        this.line = line;
    }

    /**
     * Returns the number of the line in which the row ends.
     *
     * @return line number, starting at 1
     */
    long line() {
        return line;
    }

    /**
     * Returns the errors of the row.
     *
     * @return errors found by {@link #parse()}, empty if the row is valid
     */
    List<SheetFault> faults() {
        return faults;
    }

    /**
     * Parses and validates the row.
     *
     * @return the row, null if it has errors
     */
    FleetSpec parse() {
        if (!row.isConsistent()) {
            String reason = "line has %d cells, expected %d; the file may be truncated";
            int expected = SheetColumn.values().length;
            faults.add(new SheetFault(line, "", reason.formatted(row.size(), expected)));
            return null;
        }
        FleetId fleet = value(SheetColumn.FLEET, FleetId::new);
        UpstreamKind kind = value(SheetColumn.KIND, SheetRowParser::parseKind);
        String model = cell(SheetColumn.MODEL);
        String adapter = cell(SheetColumn.ADAPTER);
        String version = cell(SheetColumn.VERSION);
        Digest digest = value(SheetColumn.DIGEST, Digest::new);
        Map<TeamId, Integer> weights =
                value(SheetColumn.TEAM_WEIGHTS, SheetRowParser::parseWeights);
        Integer inFlight = limit(SheetColumn.MAX_IN_FLIGHT, 1);
        Integer queue = limit(SheetColumn.MAX_QUEUE, 0);
        Integer unavailable = limit(SheetColumn.MAX_UNAVAILABLE, 1);
        Boolean fencing = value(SheetColumn.CHECKS_FENCING, SheetRowParser::parseYesOrNo);
        List<CallPattern> calls = value(SheetColumn.NON_IDEMPOTENT, SheetRowParser::parseCalls);
        checkKind(kind, model, version, digest);
        if (!faults.isEmpty()) {
            return null;
        }
        return new FleetSpec(
                fleet,
                kind,
                model,
                adapter,
                version,
                digest,
                weights,
                inFlight,
                queue,
                unavailable,
                fencing,
                calls);
    }

    // Checks the columns whose rules depend on the kind. Kind and digest are null if invalid.
    private void checkKind(UpstreamKind kind, String model, String version, Digest digest) {
        if (kind == UpstreamKind.MODEL) {
            if (model.isEmpty()) {
                fault(SheetColumn.MODEL, "a model fleet needs a model; expected its name");
            }
            if (version.isEmpty()) {
                fault(SheetColumn.VERSION, "a model fleet needs a version; expected its name");
            }
            if (digest != null && !digest.isPresent()) {
                fault(
                        SheetColumn.DIGEST,
                        "a model fleet needs a digest; expected the SHA-256 of its manifest");
            }
        } else if (kind == UpstreamKind.SERVICE && digest != null && digest.isPresent()) {
            fault(SheetColumn.DIGEST, "a service has no weights; expected an empty cell");
        }
    }

    // Returns the text of a cell; for a formula, records an error and returns an empty text.
    private String cell(SheetColumn column) {
        String text = row.get(column.header());
        if (FORMULA.matcher(text).matches()) {
            fault(
                    column,
                    "cell holds the formula \"%s\"; export the sheet with values".formatted(text));
            return "";
        }
        return text;
    }

    // Parses a cell. If the function throws IllegalArgumentException, records its message as an
    // error and returns null.
    private <T> T value(SheetColumn column, Function<String, T> parse) {
        int before = faults.size();
        String text = cell(column);
        if (faults.size() > before) {
            return null;
        }
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            fault(column, e.getMessage());
            return null;
        }
    }

    // Returns null if the cell has an error.
    private Integer limit(SheetColumn column, int minimum) {
        return value(column, text -> parseNumber(text, minimum));
    }

    private void fault(SheetColumn column, String reason) {
        faults.add(new SheetFault(line, column.header(), reason));
    }

    private static int parseNumber(String text, int minimum) {
        int n;
        try {
            n = Integer.parseInt(text);
        } catch (NumberFormatException e) {
            String reason = "\"%s\" is not a whole number between %d and %d";
            throw new IllegalArgumentException(reason.formatted(text, minimum, MAX_LIMIT), e);
        }
        if (n < minimum || n > MAX_LIMIT) {
            String reason = "%d is not between %d and %d";
            throw new IllegalArgumentException(reason.formatted(n, minimum, MAX_LIMIT));
        }
        return n;
    }

    private static UpstreamKind parseKind(String text) {
        return switch (text) {
            case "model" -> UpstreamKind.MODEL;
            case "service" -> UpstreamKind.SERVICE;
            default ->
                    throw new IllegalArgumentException(
                            "kind \"%s\" is unknown; expected \"model\" or \"service\""
                                    .formatted(text));
        };
    }

    private static boolean parseYesOrNo(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default ->
                    throw new IllegalArgumentException(
                            "\"%s\" is invalid; expected \"yes\" or \"no\"".formatted(text));
        };
    }

    // Parses entries such as "shop=3", separated by semicolons.
    private static Map<TeamId, Integer> parseWeights(String text) {
        Map<TeamId, Integer> weights = new TreeMap<>();
        for (String entry : splitList(text)) {
            String[] parts = entry.split("=");
            if (parts.length != 2) {
                throw new IllegalArgumentException(
                        "\"%s\" is not a team and its weight; expected for example \"shop=3\""
                                .formatted(entry));
            }
            TeamId team = TeamId.ofPlainName(parts[0].trim());
            if (weights.put(team, parseNumber(parts[1].trim(), 1)) != null) {
                throw new IllegalArgumentException(
                        "team \"%s\" is listed twice; expected one weight for each team"
                                .formatted(team));
            }
        }
        return weights;
    }

    // Parses entries such as "POST /orders", separated by semicolons.
    private static List<CallPattern> parseCalls(String text) {
        return splitList(text).stream().map(CallPattern::parse).toList();
    }

    // Blank entries are skipped.
    private static List<String> splitList(String text) {
        List<String> entries = new ArrayList<>();
        for (String entry : text.split(LIST_SEPARATOR)) {
            if (!entry.isBlank()) {
                entries.add(entry.trim());
            }
        }
        return entries;
    }
}
