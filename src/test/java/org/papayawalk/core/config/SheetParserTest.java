package org.papayawalk.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.papayawalk.core.id.TeamId;
import org.testng.annotations.Test;

/** Tests {@link SheetParser}. */
public final class SheetParserTest {
    private static final String HEADER = String.join(",", SheetColumn.headers()) + "\n";

    // Valid row of a service.
    private static final String SERVICE = "orders,service,,,,,shop=3,16,64,1,no,POST /orders\n";

    private static final String DIGEST = "0123456789abcdef".repeat(4);

    // Valid row of a model fleet.
    private static final String MODEL = "helper,model,ube,,1," + DIGEST + ",,32,64,2,yes,\n";

    private final SheetParser parser = new SheetParser();

    /** Parses a valid sheet. */
    @Test
    public void parsesValidSheet() {
        List<FleetSpec> rows = parser.parse(HEADER + MODEL + SERVICE).get();
        assertEquals(rows.size(), 2);
        assertEquals(rows.get(0).digest().value(), DIGEST);
        assertEquals(rows.get(1).weightOf(new TeamId("shop")), 3);
        assertTrue(rows.get(1).isNonIdempotent("POST", "/orders/7"));
    }

    /** Parses a spreadsheet export with a byte order mark, semicolons and CRLF line ends. */
    @Test
    public void parsesSpreadsheetExport() {
        String sheet = (HEADER + MODEL).replace(',', ';').replace("\n", "\r\n");
        assertEquals(parser.parse("\uFEFF" + sheet).get().size(), 1);
    }

    /** Reports all errors of a sheet together, with line and column. */
    @Test
    public void reportsAllErrorsTogether() {
        String invalid =
                "helper,engine,ube,,1,xyz,shop,0,64,1,maybe,POST\n"
                        + "helper,model,ube,,,,,1,1,1,no,\n";
        List<SheetFault> faults = parser.parse(HEADER + invalid).getLeft();
        List<String> columns = faults.stream().map(f -> f.line() + " " + f.column()).toList();
        assertEquals(
                columns,
                List.of(
                        "2 kind",
                        "2 digest",
                        "2 team_weights",
                        "2 max_in_flight",
                        "2 checks_fencing",
                        "2 non_idempotent",
                        "3 version",
                        "3 digest"));
    }

    /** Rejects a fleet that is listed twice. */
    @Test
    public void rejectsDuplicateFleet() {
        List<SheetFault> faults = parser.parse(HEADER + SERVICE + SERVICE).getLeft();
        assertEquals(faults.get(0).reason(), "duplicate fleet \"orders\", first listed in line 2");
    }

    /** Rejects a file that was truncated in its last line. */
    @Test
    public void rejectsTruncatedFile() {
        List<SheetFault> faults = parser.parse(HEADER + MODEL + "orders,serv").getLeft();
        assertEquals(faults.get(0).line(), 3);
        assertTrue(faults.get(0).reason().contains("file may be truncated"));
    }

    /** Rejects a cell with a formula. */
    @Test
    public void rejectsFormula() {
        List<SheetFault> faults = parser.parse(HEADER + SERVICE.replace("16", "=2*8")).getLeft();
        assertEquals(faults.get(0).column(), "max_in_flight");
    }

    /** Reports the missing and the unknown column of a header line with a misspelled column. */
    @Test
    public void reportsMissingAndUnknownColumns() {
        List<SheetFault> faults = parser.parse(HEADER.replace("kind", "sort") + SERVICE).getLeft();
        assertEquals(faults.size(), 2);
    }

    /** Rejects a sheet without rows. */
    @Test
    public void rejectsSheetWithoutRows() {
        assertEquals(
                parser.parse(HEADER).getLeft().get(0).reason(),
                "sheet has no rows; expected at least one below the header line");
    }

    /** Parses a sheet of 50,000 rows. */
    @Test
    public void parsesFiftyThousandRows() {
        StringBuilder sheet = new StringBuilder(HEADER);
        for (int i = 0; i < 50_000; i++) {
            sheet.append(SERVICE.replace("orders,", "orders-" + i + ","));
        }
        assertEquals(parser.parse(sheet.toString()).get().size(), 50_000);
    }
}
