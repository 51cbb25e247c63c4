package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Keeps the frames that one member sends; everything else that it says is dropped. */
final class RecordingReplicationActions implements ReplicationActions {
    /** A frame and the address that it was sent to. */
    record Sent(String address, ReplicationMessage message) {}

    final List<Sent> sent = new ArrayList<>();

    @Override
    public void send(String address, ReplicationMessage frame) {
        sent.add(new Sent(address, frame));
    }

    /** Frames of this type to this address. */
    <T extends ReplicationMessage> List<T> sentTo(String address, Class<T> type) {
        return sent.stream()
                .filter(one -> one.address().equals(address) && type.isInstance(one.message()))
                .map(one -> type.cast(one.message()))
                .toList();
    }

    @Override
    public void persist(long ticket, Map<String, byte[]> changes) {}

    @Override
    public void proposalCompleted(long token, ProposalOutcome outcome) {}

    @Override
    public void readIndexCompleted(long token, boolean yes) {}

    @Override
    public void statusChanged() {}

    @Override
    public void log(ReplicationEvent event) {}

    /** The state of machine "a" with incarnation 1, at 1,000 ms, by what its disk holds. */
    static ReplicaState state(DurableState stored, ReplicationActions actions) {
        ReplicaConfig config =
                new ReplicaConfig("a", "a", "", 1, 77, List.of(), false, ReplicationSettings.defaults(1));
        AppliedEntryListener nobody = new AppliedEntryListener() {
            @Override
            public void onApplied(LogEntry entry) {}

            @Override
            public void onSnapshotInstalled() {}
        };
        return new ReplicaState(config, stored, actions, statelessMachine(), nobody, 1_000);
    }

    /** A state machine without a state. */
    static StateMachine statelessMachine() {
        return new StateMachine() {
            @Override
            public byte[] snapshot() {
                return new byte[0];
            }

            @Override
            public byte[] replay(byte[] snapshot, List<byte[]> changes) {
                return new byte[0];
            }

            @Override
            public void restore(byte[] snapshot) {}

            @Override
            public void apply(long index, byte[] change) {}
        };
    }
}
