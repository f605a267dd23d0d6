package org.papayawalk.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.beust.jcommander.ParameterException;
import java.util.List;
import org.testng.annotations.Test;

/** Selects faults by their names. */
public final class FaultNamesTest {
    /** Faults of some experiment. */
    private static final List<String> KNOWN = List.of("kill", "stall");

    /** A name that is not known is refused, as the run would prove nothing. */
    @Test
    public void unknownNameIsRefused() {
        assertThrows(ParameterException.class, () -> FaultNames.select(List.of("kil"), KNOWN));
    }

    /** One word stands for all faults, and each is caused once. */
    @Test
    public void oneWordStandsForAll() {
        assertEquals(FaultNames.select(List.of("kill", "all"), KNOWN), KNOWN);
    }

    /** No name means no fault. */
    @Test
    public void noNameMeansNoFault() {
        assertEquals(FaultNames.select(List.of(), KNOWN), List.of());
    }
}
