package brambletray.relay.core;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.core.DescriptorBudget.Owner;
import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
    @Test
    void sharesAddUpToTotalAndNoneIsEmpty() {
        for (int total = 64; total <= 2_000; total++) {
            DescriptorBudget budget = new DescriptorBudget(total);
            int sum = 0;
            for (Owner owner : Owner.values()) {
                assertTrue(budget.share(owner) > 0, total + ": " + owner);
                sum += budget.share(owner);
            }
            assertEquals(total, sum);
            assertTrue(budget.share(Owner.HOSTS) >= total / 10, total + ": " + budget);
        }
    }

    /** Seen in rb38060: clients and hosts used 382 of 384 descriptors, and the store could not open its next file. */
    @Test
    void clientsAndHostsLeaveReservedSharesFree() {
        DescriptorBudget budget = new DescriptorBudget(384);
        assertEquals(153, budget.share(Owner.CLIENTS));
        assertEquals(384 - 153 - 32 - 24 - 4 - 25, budget.share(Owner.HOSTS));
    }

    @Test
    void acquireAndReleaseAreLimitedByTheShare() {
        DescriptorBudget budget = new DescriptorBudget(100);
        for (int i = 0; i < budget.share(Owner.HOSTS); i++) {
            assertTrue(budget.acquire(Owner.HOSTS));
        }
        assertFalse(budget.acquire(Owner.HOSTS));
        assertTrue(budget.acquire(Owner.CLIENTS), "the share of one owner does not limit another");
        budget.release(Owner.HOSTS);
        assertTrue(budget.acquire(Owner.HOSTS));
        budget.release(Owner.CLIENTS);
        assertThrows(IllegalStateException.class, () -> budget.release(Owner.CLIENTS));
    }
}
