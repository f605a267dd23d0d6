package org.papayawalk.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.beust.jcommander.ParameterException;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the selection of faults by name. */
public final class FaultNamesTest {
    private static final List<String> KNOWN = List.of("kill", "stall");

    /** Rejects an unknown name: without its fault the run would pass untested. */
    @Test
    public void unknownNameIsRejected() {
        assertThrows(ParameterException.class, () -> FaultNames.select(List.of("kil"), KNOWN));
    }

    /** Expands {@code all} to every fault, and selects each fault once. */
    @Test
    public void allSelectsEveryFaultOnce() {
        assertEquals(FaultNames.select(List.of("kill", "all"), KNOWN), KNOWN);
    }

    /** Selects no fault if no name is given. */
    @Test
    public void noNameSelectsNoFault() {
        assertEquals(FaultNames.select(List.of(), KNOWN), List.of());
    }
}
