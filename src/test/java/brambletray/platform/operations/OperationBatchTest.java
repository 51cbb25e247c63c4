package brambletray.platform.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.KeyDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class OperationBatchTest {
    private static final OperationNames NAMES =
            OperationIdentity.of("t", KeyDigest.of("secret"), "k").names();
    private static final OperationBatch BATCH = new OperationBatch(
            new BatchStamp(-5, 1_234, 17, 1_200),
            60_000,
            List.of(
                    new OperationCommand.Claim(
                            new ClaimId(3, 4), OperationNames.withoutCredential(OperationKey.of("t", "k")), "edge-1"),
                    new OperationCommand.Claim(new ClaimId(3, 5), NAMES, "edge-2"),
                    new OperationCommand.Release(new ClaimId(3, 2), OperationKey.of("", "k"))));

    @Test
    void encodedBatchesAreDecoded() {
        assertTrue(OperationBatch.isBatch(BATCH.encode()));
        assertEquals(BATCH, OperationBatch.decode(BATCH.encode()));
    }

    @Test
    void otherLogEntriesAreNotBatches() {
        assertFalse(OperationBatch.isBatch(new byte[0]));
        assertFalse(OperationBatch.isBatch(new byte[] {1, 2, 3}));
    }

    @Test
    void truncatedBatchesAndTrailingBytesAreRejected() {
        byte[] bytes = BATCH.encode();
        for (int length = 0; length < bytes.length; length++) {
            byte[] part = Arrays.copyOf(bytes, length);
            assertThrows(OperationsException.class, () -> OperationBatch.decode(part));
        }
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(OperationsException.class, () -> OperationBatch.decode(longer));
    }

    @Test
    void corruptedBytesAreDecodedOrRejected() {
        Random random = new Random(1);
        for (int i = 0; i < 5_000; i++) {
            byte[] bytes = BATCH.encode();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                OperationBatch.decode(bytes);
            } catch (OperationsException expected) {
                assertTrue(expected.getMessage().length() > 0);
            }
        }
    }

    @Test
    void keysOfTwoTenantsDiffer() {
        assertFalse(OperationKey.of("a", "bc").equals(OperationKey.of("ab", "c")));
        assertFalse(OperationKey.of("", "k").equals(OperationKey.of("k", "")));
    }

    @Test
    void namesByCredentialDifferFromNamesByTenant() {
        assertFalse(NAMES.byTenant().equals(NAMES.byCredential()));
        OperationNames passedOn =
                OperationIdentity.of("other", KeyDigest.of("secret"), "k").names();
        assertFalse(passedOn.byTenant().equals(NAMES.byTenant()));
        assertEquals(NAMES.byCredential(), passedOn.byCredential());
        OperationNames another =
                OperationIdentity.of("t", KeyDigest.of("another"), "k").names();
        assertFalse(another.byCredential().equals(NAMES.byCredential()));
    }
}
