package org.papayawalk.core.call;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import org.testng.annotations.Test;

/** Reads all numbers and odd texts as statuses. */
public final class StatusCodeTest {
    private static final int NUMBERS = 10_000;

    /** Of all numbers, those of three digits from 100 to 599 are statuses. */
    @Test
    public void threeDigitsFromOneToFiveHundredAreStatuses() {
        for (int i = 0; i < NUMBERS; i++) {
            assertEquals(StatusCode.isValid(Integer.toString(i)), i >= 100 && i <= 599, "" + i);
            assertEquals(StatusCode.isValid(i), i >= 100 && i <= 599, "" + i);
        }
    }

    /** Other spellings are no statuses. */
    @Test
    public void oddSpellingsAreNoStatuses() {
        List<String> odd =
                List.of(
                        "",
                        " 200",
                        "200 ",
                        "0200",
                        "000",
                        "00",
                        "+20",
                        "-20",
                        "2e2",
                        "2OO",
                        "20.",
                        "\u0662\u0660\u0660",
                        "200\t",
                        "200,200");
        odd.forEach(t -> assertFalse(StatusCode.isValid(t), t));
    }
}
