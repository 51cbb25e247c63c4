package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.ConfigurationStateMachine;
import brambletray.platform.election.ElectionActions;
import brambletray.platform.election.ElectionEvent;
import brambletray.platform.election.ElectionMessage;
import brambletray.platform.election.LeaseElection;
import brambletray.platform.election.LeaseTimings;
import brambletray.platform.replication.DurableState;
import brambletray.platform.replication.FaultTolerance;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.Replica;
import brambletray.platform.replication.ReplicaConfig;
import brambletray.platform.replication.ReplicationActions;
import brambletray.platform.replication.ReplicationEvent;
import brambletray.platform.replication.ReplicationMessage;
import brambletray.platform.replication.ReplicationSettings;
import brambletray.platform.replication.StateMachine;
import brambletray.platform.storage.KeyValueStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A disk of a core machine that an earlier build has written is read: src/test/resources/brambletray/stored. */
class StoredDataTest {
    private static final Path WRITTEN = Path.of("src/test/resources/brambletray/stored/controlplane");
    private static final int TICK_MS = 40;
    private static final int MAX_TICKS = 200;

    @TempDir
    private Path dir;

    private Map<String, byte[]> stored;

    @BeforeEach
    void open() throws IOException, InterruptedException {
        try (Stream<Path> files = Files.list(WRITTEN)) {
            for (Path file : files.toList()) {
                Files.copy(file, dir.resolve(file.getFileName()));
            }
        }
        try (KeyValueStore store = StoreOpener.open(dir)) {
            stored = StoreOpener.readAll(store);
        }
    }

    @Test
    void viewPromiseAndLogAreThere() {
        DurableState state = DurableState.read(stored);
        assertNotEquals(0, state.incarnation());
        assertEquals(List.of("127.0.0.1:28248"), state.seeds());
        assertEquals(1, state.view().number());
        assertTrue(state.active());
        assertEquals(state.view().ballot(), state.promisedBallot());
        assertEquals("core-1", state.view().members().get(0).name());
        assertEquals("z", state.view().members().get(0).zone());
    }

    @Test
    void aReplicaGoesOnFromItAndHasTheConfiguration() {
        ConfigurationStateMachine configurations = new ConfigurationStateMachine();
        Deque<Long> writes = new ArrayDeque<>();
        ReplicaConfig config = new ReplicaConfig(
                "127.0.0.1:28248",
                "core-1",
                "z",
                1,
                77,
                List.of("127.0.0.1:28248"),
                true,
                ReplicationSettings.defaults(new FaultTolerance(0, 0, 0, Map.of()), 5_000));
        long now = 1_000;
        Replica replica =
                new Replica(config, DurableState.read(stored), new Writes(writes), new Adapter(configurations), now);
        for (int i = 0; i < MAX_TICKS && !replica.status().settled(); i++) {
            while (!writes.isEmpty()) {
                replica.synced(writes.remove(), now);
            }
            now += TICK_MS;
            replica.tick(now);
        }
        assertTrue(replica.status().settled());
        assertEquals(2, replica.status().appliedIndex());
        assertEquals(8, configurations.configuration().revision());
        assertEquals(
                List.of("r-1", "r-2"),
                new ArrayList<>(configurations.configuration().routes().keySet()));
    }

    @Test
    void theGrantOfTheLeaseIsRead() {
        byte[] grant = stored.get(LeaseElection.key("helm"));
        assertNotNull(grant);
        Member self = DurableState.read(stored).view().members().get(0);
        LeaseElection election =
                new LeaseElection("helm", self, grant, LeaseTimings.defaults(), new NoActions(), 1_000);
        assertEquals(null, election.holder(1_000), "whose lease runs is not stored");
    }

    private record Writes(Deque<Long> tickets) implements ReplicationActions {
        @Override
        public void send(String address, ReplicationMessage message) {}

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            tickets.add(ticket);
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {}

        @Override
        public void readIndexCompleted(long token, boolean confirmed) {}

        @Override
        public void statusChanged() {}

        @Override
        public void log(ReplicationEvent event) {}
    }

    private record Adapter(ConfigurationStateMachine configurations) implements StateMachine {
        @Override
        public byte[] snapshot() {
            return configurations.snapshot();
        }

        @Override
        public void restore(byte[] snapshot) {
            configurations.restore(snapshot);
        }

        @Override
        public byte[] replay(byte[] snapshot, List<byte[]> changes) {
            throw new UnsupportedOperationException("nobody fetches the state here");
        }

        @Override
        public void apply(long index, byte[] change) {
            configurations.apply(change);
        }
    }

    private static final class NoActions implements ElectionActions {
        @Override
        public void send(String address, ElectionMessage message) {}

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {}

        @Override
        public void won(long term) {}

        @Override
        public void lost(long term) {}

        @Override
        public void log(ElectionEvent event) {}
    }
}
