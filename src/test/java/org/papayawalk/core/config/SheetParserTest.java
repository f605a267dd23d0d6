package org.papayawalk.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.papayawalk.core.id.TeamId;
import org.testng.annotations.Test;

/** Tests {@link SheetParser}. */
public final class SheetParserTest {
    /** Heading line. */
    private static final String HEADING = String.join(",", SheetColumn.headers()) + "\n";

    /** Right row of a service. */
    private static final String SERVICE = "orders,service,,,,,shop=3,16,64,1,no,POST /orders\n";

    /** Digest of a version. */
    private static final String DIGEST = "0123456789abcdef".repeat(4);

    /** Right row of a model. */
    private static final String MODEL = "helper,model,ube,,1," + DIGEST + ",,32,64,2,yes,\n";

    /** Parser under test. */
    private final SheetParser parser = new SheetParser();

    /** Reads a right sheet. */
    @Test
    public void readsRightSheet() {
        List<FleetSpec> rows = parser.parse(HEADING + MODEL + SERVICE).get();
        assertEquals(rows.size(), 2);
        assertEquals(rows.get(0).digest().value(), DIGEST);
        assertEquals(rows.get(1).weightOf(new TeamId("shop")), 3);
        assertTrue(rows.get(1).isNonIdempotent("POST", "/orders/7"));
    }

    /** Reads what spreadsheets export: a byte order mark, semicolons and CRLF. */
    @Test
    public void readsSpreadsheetExport() {
        String sheet = (HEADING + MODEL).replace(',', ';').replace("\n", "\r\n");
        assertEquals(parser.parse("\uFEFF" + sheet).get().size(), 1);
    }

    /** Reports every fault at once, with line and column. */
    @Test
    public void reportsAllFaultsAtOnce() {
        String wrong =
                "helper,engine,ube,,1,xyz,shop,0,64,1,maybe,POST\n"
                        + "helper,model,ube,,,,,1,1,1,no,\n";
        List<SheetFault> faults = parser.parse(HEADING + wrong).getLeft();
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

    /** Refuses a fleet that stands twice. */
    @Test
    public void refusesDuplicateFleet() {
        List<SheetFault> faults = parser.parse(HEADING + SERVICE + SERVICE).getLeft();
        assertEquals(faults.get(0).reason(), "fleet \"orders\" already stands in line 2");
    }

    /** Refuses a file whose last line was cut short. */
    @Test
    public void refusesFileCutShort() {
        List<SheetFault> faults = parser.parse(HEADING + MODEL + "orders,serv").getLeft();
        assertEquals(faults.get(0).line(), 3);
        assertTrue(faults.get(0).reason().contains("cut short"));
    }

    /** Refuses cells with formulas. */
    @Test
    public void refusesFormulas() {
        List<SheetFault> faults = parser.parse(HEADING + SERVICE.replace("16", "=2*8")).getLeft();
        assertEquals(faults.get(0).column(), "max_in_flight");
    }

    /** Names missing and unknown columns. */
    @Test
    public void namesWrongHeadings() {
        List<SheetFault> faults = parser.parse(HEADING.replace("kind", "sort") + SERVICE).getLeft();
        assertEquals(faults.size(), 2);
    }

    /** Refuses an empty sheet. */
    @Test
    public void refusesEmptySheet() {
        assertEquals(parser.parse(HEADING).getLeft().get(0).reason(), "the sheet has no rows");
    }

    /** Reads 50,000 rows. */
    @Test
    public void readsFiftyThousandRows() {
        StringBuilder sheet = new StringBuilder(HEADING);
        for (int i = 0; i < 50_000; i++) {
            sheet.append(SERVICE.replace("orders,", "orders-" + i + ","));
        }
        assertEquals(parser.parse(sheet.toString()).get().size(), 50_000);
    }
}
