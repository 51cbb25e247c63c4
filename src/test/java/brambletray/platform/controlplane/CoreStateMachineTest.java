package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationCommand;
import brambletray.platform.operations.OperationKey;
import brambletray.platform.operations.OperationNames;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.replication.StateMachine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class CoreStateMachineTest {
    private static final long WINDOW_MS = 60_000;
    private static final OperationKey KEY = OperationKey.of("t", "k");

    /** The changes, one after the other; as a configuration, its snapshots and changes begin with 1. */
    private static final class Changes implements StateMachine {
        private String state = "";
        private final List<Long> indices = new ArrayList<>();
        private int snapshots;

        @Override
        public byte[] snapshot() {
            snapshots++;
            return ("\u0001" + state).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] snapshot) {
            state = snapshot.length == 0 ? "" : new String(snapshot, 1, snapshot.length - 1, StandardCharsets.UTF_8);
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            Changes other = new Changes();
            other.restore(snapshot);
            changes.forEach(change -> other.apply(0, change));
            return other.snapshot();
        }

        @Override
        public void apply(long index, byte[] change) {
            indices.add(index);
            state += new String(change, StandardCharsets.UTF_8);
        }
    }

    private long nowMs;
    private final Changes configuration = new Changes();
    private final OperationRegistry registry = new OperationRegistry(1, 0);
    private final List<OperationRegistry.Outcome> outcomes = new ArrayList<>();
    private final CoreStateMachine machine =
            new CoreStateMachine(configuration, registry, () -> nowMs, outcomes::addAll);

    private byte[] batch(OperationCommand... commands) {
        return new OperationBatch(registry.stamp(nowMs), WINDOW_MS, List.of(commands)).encode();
    }

    private static OperationCommand claim(long sequence, OperationKey key) {
        return new OperationCommand.Claim(new ClaimId(1, sequence), OperationNames.withoutCredential(key), "edge-1");
    }

    @Test
    void theConfigurationIsWrittenAnewOnlyWhenItHasChanged() {
        machine.apply(1, new byte[] {'a'});
        byte[] first = machine.snapshot();
        machine.apply(2, batch(claim(1, KEY)));
        machine.snapshot();
        assertEquals(1, configuration.snapshots);
        machine.apply(3, new byte[] {'b'});
        machine.snapshot();
        assertEquals(2, configuration.snapshots);
        Changes restored = new Changes();
        new CoreStateMachine(restored, new OperationRegistry(2, 0), () -> nowMs, outcomes::addAll)
                .restore(machine.snapshot());
        assertEquals("ab", restored.state);
        machine.restore(first);
        assertArrayEquals(first, machine.snapshot());
        assertEquals(3, configuration.snapshots);
    }

    @Test
    void entriesReachTheirPart() {
        machine.apply(1, new byte[] {1, 'a'});
        machine.apply(2, batch(claim(1, KEY)));
        machine.apply(3, new byte[] {1, 'b'});
        assertEquals(List.of(1L, 3L), configuration.indices);
        assertEquals(1, outcomes.size());
        assertNotNull(registry.holder(KEY, nowMs));
    }

    @Test
    void aSnapshotOfTheConfigurationAloneIsRead() {
        machine.apply(1, batch(claim(1, KEY)));
        machine.restore(new byte[] {1, 'x', 'y'});
        assertEquals("xy", configuration.state);
        assertNull(registry.holder(KEY, nowMs));
        byte[] replayed = machine.replay(new byte[] {1, 'x'}, List.of(new byte[] {'y'}));
        assertArrayEquals(machine.snapshot(), replayed);
    }

    @Test
    void emptyBytesAreTheStateBeforeTheFirstChange() {
        machine.apply(1, batch(claim(1, KEY)));
        machine.restore(new byte[0]);
        assertEquals("", configuration.state);
        assertEquals(0, registry.size());
    }

    @Test
    void aBatchThatCannotBeReadIsPassedOverByAllAlike() {
        byte[] broken = Arrays.copyOf(batch(claim(1, KEY)), 20);
        byte[] before = machine.snapshot();
        machine.apply(1, broken);
        assertArrayEquals(before, machine.snapshot());
        assertArrayEquals(before, machine.replay(before, List.of(broken)));
        assertTrue(outcomes.isEmpty());
    }

    @Test
    void replayGivesWhatApplyLeadsTo() {
        for (long seed = 1; seed <= 100; seed++) {
            Random random = new Random(seed);
            List<byte[]> changes = new ArrayList<>();
            byte[] begin = machine.snapshot();
            for (int i = 0; i < 50; i++) {
                nowMs += random.nextInt(4_000);
                byte[] change = random.nextInt(4) == 0
                        ? new byte[] {1, (byte) ('a' + random.nextInt(26))}
                        : batch(claim(i, OperationKey.of("t", "k" + random.nextInt(9))));
                machine.apply(i, change);
                changes.add(change);
            }
            byte[] end = machine.snapshot();
            assertArrayEquals(end, machine.replay(begin, changes), "seed " + seed);
            machine.restore(end);
            assertArrayEquals(end, machine.snapshot(), "seed " + seed);
        }
    }
}
