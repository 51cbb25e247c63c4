package brambletray.platform.operations;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brambletray.platform.configuration.KeyDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

public class OperationRegistryTest {
    private static final long WINDOW_MS = 60_000;
    private static final OperationKey KEY = OperationKey.of("tenant", "k-1");

    /** A claim of {@link #KEY} by edge-1 under the id 7, 1, and the release of 7, 3. */
    private static final String EARLIER_SNAPSHOT =
            "01000000000000000900000000000000010000000000000001000000000000000a000000000000000000000001000665"
                    + "6467652d310000000139ea0f8fc4d28cbfe6b519b9278fdc3600000000000000070000000000000001000000000000ea"
                    + "69000000000000000100000000000000070000000000000003000000000000ea69";

    private final OperationRegistry registry = new OperationRegistry(1, 0);

    private static OperationCommand.Claim claim(long sequence, OperationKey key) {
        return new OperationCommand.Claim(new ClaimId(7, sequence), OperationNames.withoutCredential(key), "edge-1");
    }

    private static OperationCommand.Release release(long sequence, OperationKey key) {
        return new OperationCommand.Release(new ClaimId(7, sequence), key);
    }

    private List<OperationRegistry.Outcome> apply(long nowMs, OperationCommand... commands) {
        return registry.apply(new OperationBatch(registry.stamp(nowMs), WINDOW_MS, List.of(commands)), nowMs);
    }

    private long holderAfter(long nowMs, OperationCommand command) {
        OperationRegistry.ActiveClaim holder = apply(nowMs, command).get(0).holder();
        return holder == null ? 0 : holder.id().sequence();
    }

    @Test
    void theFirstOfTwoClaimsHolds() {
        List<OperationRegistry.Outcome> outcomes = apply(10, claim(1, KEY), claim(2, KEY));
        assertEquals(1, outcomes.get(0).holder().id().sequence());
        assertEquals(1, outcomes.get(1).holder().id().sequence());
        assertEquals("edge-1", outcomes.get(1).holder().edge());
    }

    @Test
    void aRepeatedClaimDoesNotExtendItsWindow() {
        apply(10, claim(1, KEY));
        long expiresAtMs = registry.holder(KEY, 10).expiresAtMs();
        assertEquals(1, holderAfter(5_000, claim(1, KEY)));
        assertEquals(expiresAtMs, registry.holder(KEY, 5_000).expiresAtMs());
    }

    @Test
    void aKeyIsHeldAt59900MsAndFreeAt60100() {
        apply(1_000, claim(1, KEY));
        assertEquals(1, holderAfter(60_900, claim(2, KEY)));
        assertEquals(3, holderAfter(61_100, claim(3, KEY)));
    }

    @Test
    void aWindowEndsWithoutFurtherBatches() {
        apply(1_000, claim(1, KEY));
        assertNotNull(registry.holder(KEY, 60_900));
        assertNull(registry.holder(KEY, 61_100));
    }

    @Test
    void expiredClaimsAreRemovedByTheNextBatch() {
        apply(1_000, claim(1, KEY));
        apply(61_100);
        assertEquals(0, registry.size());
    }

    @Test
    void aReleasedKeyIsFreeForAnotherClaimAndNotForItsOwn() {
        apply(10, claim(1, KEY));
        assertEquals(0, holderAfter(20, release(1, KEY)));
        assertEquals(0, holderAfter(30, claim(1, KEY)));
        assertEquals(2, holderAfter(40, claim(2, KEY)));
    }

    @Test
    void aClaimThatIsCommittedAfterItsReleaseDoesNotHold() {
        apply(10, release(1, KEY));
        assertEquals(0, holderAfter(20, claim(1, KEY)));
    }

    @Test
    void aReleaseOfAnotherClaimFreesNothing() {
        apply(10, claim(1, KEY));
        assertEquals(1, holderAfter(20, release(2, KEY)));
    }

    @Test
    void aReleaseAfterTheNextClaimFreesNothing() {
        apply(10, claim(1, KEY), release(1, KEY), claim(2, KEY));
        assertEquals(2, holderAfter(20, release(1, KEY)));
    }

    private static OperationNames names(String tenant, String credential) {
        return OperationIdentity.of(tenant, KeyDigest.of(credential), "k-1").names();
    }

    private static OperationCommand.Claim claim(long sequence, OperationNames names) {
        return new OperationCommand.Claim(new ClaimId(7, sequence), names, "edge-1");
    }

    @Test
    void aClaimHoldsEachOfItsNames() {
        apply(10, claim(1, names("household", "passed-on")));
        assertEquals(1, holderAfter(20, claim(2, names("village", "passed-on"))));
        assertEquals(1, holderAfter(30, claim(3, names("household", "another"))));
        assertEquals(4, holderAfter(40, claim(4, names("village", "another"))));
        assertEquals(2, registry.activeClaims());
    }

    @Test
    void aReleaseAndAnExpiryFreeEachNameOfAClaim() {
        OperationNames household = names("household", "passed-on");
        apply(10, claim(1, household), release(1, household.byTenant()));
        assertEquals(2, holderAfter(20, claim(2, names("village", "passed-on"))));
        assertNull(registry.holder(household.byTenant(), 20));
        assertEquals(3, holderAfter(60_100, claim(3, names("household", "passed-on"))));
        assertNull(registry.holder(names("village", "passed-on").byTenant(), 60_100));
        assertEquals(1, registry.activeClaims());
    }

    @Test
    void aRestoredClaimHoldsEachOfItsNames() {
        apply(1_000, claim(1, names("household", "passed-on")), claim(2, KEY));
        OperationRegistry restarted = new OperationRegistry(2, 0);
        restarted.restore(registry.snapshot(), 0);
        OperationRegistry.ActiveClaim first = registry.holder(names("household", "passed-on"), 1_000);
        assertEquals(new ClaimId(7, 1), first.id());
        assertEquals(first, restarted.holder(names("village", "passed-on"), 0));
        assertEquals(first, restarted.holder(names("household", "another"), 0));
        assertEquals(registry.holder(KEY, 1_000), restarted.holder(KEY, 0));
        assertArrayEquals(registry.snapshot(), restarted.snapshot());
    }

    /** As written by the version before claims had names by credential. */
    @Test
    void aSnapshotWithoutNamesByCredentialIsRead() {
        byte[] earlier = HexFormat.of().parseHex(EARLIER_SNAPSHOT);
        registry.restore(earlier, 0);
        assertEquals(2, registry.size());
        OperationRegistry.ActiveClaim claim = registry.holder(KEY, 0);
        assertEquals(new ClaimId(7, 1), claim.id());
        assertEquals("edge-1", claim.edge());
        assertEquals(2, holderAfter(10, claim(2, OperationKey.of("tenant", "k-2"))));
        assertEquals(0, holderAfter(10, claim(3, OperationKey.of("tenant", "k-3"))));
        for (int length = 1; length < earlier.length; length++) {
            byte[] part = Arrays.copyOf(earlier, length);
            assertThrows(OperationsException.class, () -> registry.restore(part, 20));
        }
    }

    @Test
    void aRestoredClaimStaysActiveForItsWholeWindow() {
        apply(1_000, claim(1, KEY));
        apply(31_000);
        OperationRegistry restarted = new OperationRegistry(2, 500_000);
        restarted.restore(registry.snapshot(), 500_000);
        assertNotNull(restarted.holder(KEY, 500_000));
        assertNotNull(restarted.holder(KEY, 529_900));
        assertNull(restarted.holder(KEY, 530_100));
    }

    @Test
    void anUnreadableSnapshotChangesNothing() {
        apply(10, claim(1, KEY));
        byte[] snapshot = registry.snapshot();
        for (int length = 1; length < snapshot.length; length++) {
            byte[] part = Arrays.copyOf(snapshot, length);
            assertThrows(OperationsException.class, () -> registry.restore(part, 20));
        }
        assertArrayEquals(snapshot, registry.snapshot());
    }

    /** A member restored from a snapshot at any batch has the same state as one that has applied all batches. */
    @Test
    void theSameBatchesLeadToIdenticalSnapshots() {
        for (long seed = 1; seed <= 100; seed++) {
            Random random = new Random(seed);
            OperationRegistry proposer = new OperationRegistry(1, 0);
            OperationRegistry other = new OperationRegistry(2, 0);
            long nowMs = 0;
            for (int i = 0; i < 60; i++) {
                nowMs += random.nextInt(5_000);
                OperationRegistry creator = random.nextInt(3) == 0 ? other : proposer;
                OperationBatch batch = new OperationBatch(creator.stamp(nowMs), WINDOW_MS, randomCommands(random));
                proposer.apply(batch, nowMs);
                other.apply(OperationBatch.decode(batch.encode()), nowMs + random.nextInt(400));
                assertArrayEquals(proposer.snapshot(), other.snapshot(), "seed " + seed);
                if (random.nextInt(10) == 0) {
                    byte[] snapshot = proposer.snapshot();
                    other = new OperationRegistry(3 + i, nowMs);
                    other.restore(snapshot, nowMs);
                }
            }
        }
    }

    private static List<OperationCommand> randomCommands(Random random) {
        List<OperationCommand> commands = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            OperationKey key = OperationKey.of("t", "k" + random.nextInt(8));
            long sequence = random.nextInt(40);
            OperationKey byCredential = random.nextBoolean() ? null : OperationKey.of("c", "k" + random.nextInt(8));
            commands.add(
                    random.nextInt(3) == 0
                            ? release(sequence, key)
                            : claim(sequence, new OperationNames(key, byCredential)));
        }
        return commands;
    }
}
