package brambletray.relay.core;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.core.DescriptorBudget.Owner;
import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
    @Test
    void sharesAddUpToTotalAndNoneIsEmpty() {
        for (int all = 64; all <= 2_000; all++) {
            DescriptorBudget d = new DescriptorBudget(all);
            int sum = 0;
            for (Owner owner : Owner.values()) {
                assertTrue(d.share(owner) > 0, all + ": " + owner);
                sum += d.share(owner);
            }
            assertEquals(all, sum);
            assertTrue(d.share(Owner.HOSTS) >= all / 10, all + ": " + d);
        }
    }

    /** rb38060: 384 descriptors, 382 of them with clients and hosts, and none for the store's next file. */
    @Test
    void clientsAndHostsLeaveReservedSharesFree() {
        DescriptorBudget d = new DescriptorBudget(384);
        assertEquals(153, d.share(Owner.CLIENTS));
        assertEquals(384 - 153 - 32 - 24 - 4 - 25, d.share(Owner.HOSTS));
    }

    @Test
    void acquireAndReleaseAreLimitedByTheShare() {
        DescriptorBudget d = new DescriptorBudget(100);
        for (int i = 0; i < d.share(Owner.HOSTS); i++) {
            assertTrue(d.acquire(Owner.HOSTS));
        }
        assertFalse(d.acquire(Owner.HOSTS));
        assertTrue(d.acquire(Owner.CLIENTS), "another's share is its own");
        d.release(Owner.HOSTS);
        assertTrue(d.acquire(Owner.HOSTS));
        d.release(Owner.CLIENTS);
        assertThrows(IllegalStateException.class, () -> d.release(Owner.CLIENTS));
    }
}
