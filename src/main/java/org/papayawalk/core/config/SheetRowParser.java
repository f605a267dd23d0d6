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

/** Reads one row of a sheet and collects its faults. For one row and one thread. */
final class SheetRowParser {
    /** Highest limit that a row may name. */
    private static final int MAX_LIMIT = 100_000;

    /** Starts of cells that a spreadsheet would compute. */
    private static final Pattern FORMULA = Pattern.compile("[=@].*");

    /** Separates entries within a cell. */
    private static final String LIST_SEPARATOR = ";";

    /** Row to read. */
    private final CSVRecord row;

    /** Line at which the row ends. */
    private final long line;

    /** Faults found so far. */
    private final List<SheetFault> faults = new ArrayList<>();

    /**
     * Creates a reader.
     *
     * @param row row to read
     * @param line line at which it ends
     */
    SheetRowParser(CSVRecord row, long line) {
        this.row = row;
        this.line = line;
    }

    /**
     * Returns the line of the row.
     *
     * @return line number from 1
     */
    long line() {
        return line;
    }

    /**
     * Returns the faults of the row.
     *
     * @return faults found by {@link #parse()}
     */
    List<SheetFault> faults() {
        return faults;
    }

    /**
     * Reads the row.
     *
     * @return the row, or null if it has faults
     */
    FleetSpec parse() {
        if (!row.isConsistent()) {
            String reason = "the line has %d cells, the heading %d; was the file cut short?";
            int expected = SheetColumn.values().length;
            faults.add(new SheetFault(line, "", reason.formatted(row.size(), expected)));
            return null;
        }
        FleetId fleet = value(SheetColumn.FLEET, FleetId::new);
        UpstreamKind kind = value(SheetColumn.KIND, SheetRowParser::kind);
        String model = cell(SheetColumn.MODEL);
        String adapter = cell(SheetColumn.ADAPTER);
        String version = cell(SheetColumn.VERSION);
        Digest digest = value(SheetColumn.DIGEST, Digest::new);
        Map<TeamId, Integer> weights = value(SheetColumn.TEAM_WEIGHTS, SheetRowParser::weights);
        Integer inFlight = limit(SheetColumn.MAX_IN_FLIGHT, 1);
        Integer queue = limit(SheetColumn.MAX_QUEUE, 0);
        Integer unavailable = limit(SheetColumn.MAX_UNAVAILABLE, 1);
        Boolean fencing = value(SheetColumn.CHECKS_FENCING, SheetRowParser::yesOrNo);
        List<CallPattern> calls = value(SheetColumn.NON_IDEMPOTENT, SheetRowParser::calls);
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

    /**
     * Checks the columns that depend on the kind of upstream.
     *
     * @param kind kind, or null if it has a fault
     * @param model name of the model
     * @param version name of the version
     * @param digest digest, or null if it has a fault
     */
    private void checkKind(UpstreamKind kind, String model, String version, Digest digest) {
        if (kind == UpstreamKind.MODEL) {
            if (model.isEmpty()) {
                fault(SheetColumn.MODEL, "a model fleet needs a model");
            }
            if (version.isEmpty()) {
                fault(SheetColumn.VERSION, "a model fleet needs a version");
            }
            if (digest != null && !digest.isPresent()) {
                fault(SheetColumn.DIGEST, "a model fleet needs the digest of its manifest");
            }
        } else if (kind == UpstreamKind.SERVICE && digest != null && digest.isPresent()) {
            fault(SheetColumn.DIGEST, "a service has no weights; leave the cell empty");
        }
    }

    /**
     * Returns the text of a cell and checks that it is no formula.
     *
     * @param column column to read
     * @return text without surrounding blanks
     */
    private String cell(SheetColumn column) {
        String text = row.get(column.header());
        if (FORMULA.matcher(text).matches()) {
            fault(column, "the cell \"%s\" holds a formula; export values".formatted(text));
            return "";
        }
        return text;
    }

    /**
     * Reads a cell with a function and records its refusal.
     *
     * @param column column to read
     * @param read function that throws {@link IllegalArgumentException} on wrong text
     * @param <T> type of the value
     * @return the value, or null if the cell has a fault
     */
    private <T> T value(SheetColumn column, Function<String, T> read) {
        int before = faults.size();
        String text = cell(column);
        if (faults.size() > before) {
            return null;
        }
        try {
            return read.apply(text);
        } catch (IllegalArgumentException e) {
            fault(column, e.getMessage());
            return null;
        }
    }

    /**
     * Reads a limit.
     *
     * @param column column to read
     * @param minimum lowest value allowed
     * @return the limit, or null if the cell has a fault
     */
    private Integer limit(SheetColumn column, int minimum) {
        return value(column, text -> number(text, minimum));
    }

    /**
     * Records a fault.
     *
     * @param column column of the fault
     * @param reason what is wrong
     */
    private void fault(SheetColumn column, String reason) {
        faults.add(new SheetFault(line, column.header(), reason));
    }

    /**
     * Reads a whole number.
     *
     * @param text digits
     * @param minimum lowest value allowed
     * @return the number
     */
    private static int number(String text, int minimum) {
        int n;
        try {
            n = Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"%s\" is not a whole number".formatted(text), e);
        }
        if (n < minimum || n > MAX_LIMIT) {
            String reason = "%d is not between %d and %d";
            throw new IllegalArgumentException(reason.formatted(n, minimum, MAX_LIMIT));
        }
        return n;
    }

    /**
     * Reads a kind of upstream.
     *
     * @param text {@code model} or {@code service}
     * @return the kind
     */
    private static UpstreamKind kind(String text) {
        return switch (text) {
            case "model" -> UpstreamKind.MODEL;
            case "service" -> UpstreamKind.SERVICE;
            default ->
                    throw new IllegalArgumentException(
                            "kind \"%s\" is neither \"model\" nor \"service\"".formatted(text));
        };
    }

    /**
     * Reads a truth value.
     *
     * @param text {@code yes} or {@code no}
     * @return true for yes
     */
    private static boolean yesOrNo(String text) {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default ->
                    throw new IllegalArgumentException(
                            "\"%s\" is neither \"yes\" nor \"no\"".formatted(text));
        };
    }

    /**
     * Reads weights of teams.
     *
     * @param text entries such as {@code shop=3}, separated by semicolons
     * @return weights by team
     */
    private static Map<TeamId, Integer> weights(String text) {
        Map<TeamId, Integer> weights = new TreeMap<>();
        for (String entry : entries(text)) {
            String[] parts = entry.split("=");
            if (parts.length != 2) {
                throw new IllegalArgumentException(
                        "\"%s\" is not a team and its weight, such as \"shop=3\"".formatted(entry));
            }
            TeamId team = new TeamId(parts[0].trim());
            if (weights.put(team, number(parts[1].trim(), 1)) != null) {
                throw new IllegalArgumentException("team \"%s\" stands twice".formatted(team));
            }
        }
        return weights;
    }

    /**
     * Reads patterns of calls.
     *
     * @param text entries such as {@code POST /orders}, separated by semicolons
     * @return the patterns
     */
    private static List<CallPattern> calls(String text) {
        return entries(text).stream().map(CallPattern::parse).toList();
    }

    /**
     * Splits a cell.
     *
     * @param text entries separated by semicolons
     * @return entries that are not blank
     */
    private static List<String> entries(String text) {
        List<String> entries = new ArrayList<>();
        for (String entry : text.split(LIST_SEPARATOR)) {
            if (!entry.isBlank()) {
                entries.add(entry.trim());
            }
        }
        return entries;
    }
}
