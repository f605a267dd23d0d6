package org.papayawalk.http;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Checks that the largest buffers are discarded when the budget is exceeded. */
public final class BufferBudgetTest {
    private final List<String> discarded = new ArrayList<>();

    /** The largest buffer goes, the others stay. */
    @Test
    public void largestBufferIsDiscarded() {
        BufferBudget budget = new BufferBudget(100, 100);
        BufferBudget.Buffer small = reason -> discarded.add("small");
        BufferBudget.Buffer large = reason -> discarded.add("large");
        budget.resize(large, 70);
        budget.resize(small, 30);
        assertEquals(discarded, List.of());
        budget.resize(small, 31);
        assertEquals(discarded, List.of("large"));
        assertEquals(budget.heldBytes(), 31);
        budget.release(large);
        budget.release(small);
        assertEquals(budget.heldBytes(), 0);
    }

    /** Complete responses that wait for slow callers stay, and leave room for small ones. */
    @Test
    public void completeResponsesStayAndLeaveRoomForSmallOnes() {
        BufferBudget budget = new BufferBudget(100_000, 1000);
        List<String> reasons = new ArrayList<>();
        budget.hold(1000);
        BufferBudget.Buffer small = reasons::add;
        budget.resize(small, 500);
        assertEquals(reasons, List.of());
        BufferBudget.Buffer large = reasons::add;
        budget.resize(large, 70_000);
        assertEquals(reasons.size(), 1);
        assertEquals(budget.heldBytes(), 1500);
        budget.release(small);
        budget.unhold(1000);
        assertEquals(budget.heldBytes(), 0);
    }
}
