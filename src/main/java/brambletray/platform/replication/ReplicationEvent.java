package brambletray.platform.replication;

import brambletray.platform.logging.LogEvent;
import java.util.Set;

/** Log events about views and the replicated log; {@code docs/operating.md} describes how to respond to them. */
public sealed interface ReplicationEvent extends LogEvent {
    /** The process has read its stored state and participates from now on. */
    record Started(String incarnation, boolean diskEmpty, boolean isFounder, String view, long lastIndex)
            implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.started";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("incarnation", incarnation);
            sink.field("disk-empty", diskEmpty);
            sink.field("is-founder", isFounder);
            sink.field("view", view);
            sink.field("last-index", lastIndex);
        }
    }

    /** The tick of this process was late: all timers are reset before any member is suspected. */
    record ProcessPaused(long ms) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.process-paused";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ms", ms);
        }
    }

    /** This member starts a view change and sends prepare requests to the members of its last view. */
    record ViewChangeStarted(Ballot ballot, Ballot view, String reason, int newcomers, long lastIndex)
            implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.view-change-started";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ballot", ballot);
            sink.field("view", view);
            sink.field("why", reason);
            sink.field("newcomers", newcomers);
            sink.field("last-index", lastIndex);
        }
    }

    /** A view change started by this member has ended without a new view. */
    record ViewChangeAbandoned(Ballot ballot, String reason) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.view-change-abandoned";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ballot", ballot);
            sink.field("why", reason);
        }
    }

    /** A member has promised the ballot of this member's view change and reported its state. */
    record PrepareAnswered(
            Ballot ballot, String responder, Ballot view, boolean active, long lastIndex, boolean diskUnhealthy)
            implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.prepare-answered";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ballot", ballot);
            sink.field("responder", responder);
            sink.field("view", view);
            sink.field("active", active);
            sink.field("last-index", lastIndex);
            sink.field("disk-unhealthy", diskUnhealthy);
        }
    }

    /** This member has promised the ballot of another member's view change and stopped working in lower ballots. */
    record BallotPromised(Ballot ballot, String proposer, Ballot view, long lastIndex) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.ballot-promised";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ballot", ballot);
            sink.field("proposer", proposer);
            sink.field("view", view);
            sink.field("last-index", lastIndex);
        }
    }

    /** A quorum has responded: the new view and its log are sent to its members. */
    record ViewProposed(Ballot ballot, String members, long lastIndex, Ballot source) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.view-proposed";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ballot", ballot);
            sink.field("members", members);
            sink.field("last-index", lastIndex);
            sink.field("source", source);
        }
    }

    /** All members of the new view have it on disk; this member leads it. */
    record ViewInstalled(Ballot ballot, long ms) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.view-installed";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ballot", ballot);
            sink.field("ms", ms);
        }
    }

    /** The view of this member has become active: entries can be committed in it. */
    record ViewActivated(Ballot view, String members, String leader, long lastIndex) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.view-active";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("view", view);
            sink.field("members", members);
            sink.field("leader", leader);
            sink.field("last-index", lastIndex);
        }
    }

    /** Zones or regions whose loss is to be tolerated hold half of the active view; the rest has no majority. */
    record ZonesHoldHalf(Ballot view, String zones, String members, String reason) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.zones-hold-half";
        }

        @Override
        public boolean needsAttention() {
            return true;
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("view", view);
            sink.field("zones", zones);
            sink.field("members", members);
            sink.field("why", reason);
        }
    }

    /** A later view excludes this member, which sends join requests. */
    record ExcludedFromView(Ballot ownView, Ballot newView, String members) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.excluded";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("own-view", ownView);
            sink.field("new-view", newView);
            sink.field("members", members);
        }
    }

    /** A planned shutdown has started; a leader hands over. */
    record LeaveStarted(String view, boolean isLeader, long commitIndex, long lastIndex) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.leave-started";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("view", view);
            sink.field("is-leader", isLeader);
            sink.field("commit-index", commitIndex);
            sink.field("last-index", lastIndex);
        }
    }

    /** The planned shutdown has completed on the replication side: the process may end. */
    record LeaveFinished(String reason, long ms, String view, String members) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.leave-finished";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("why", reason);
            sink.field("ms", ms);
            sink.field("view", view);
            sink.field("members", members);
        }
    }

    /** A batch could not be written to disk; it is retried. */
    record WriteFailed(long ticket) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.write-failed";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("ticket", ticket);
        }
    }

    /** An address has responded with another incarnation: the disk of the earlier one is lost. */
    record DiskLost(String address, String incarnation, Set<Long> lostIncarnations) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.disk-lost";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("address", address);
            sink.field("incarnation", incarnation);
            sink.field("lost-incarnations", lostIncarnations);
        }
    }

    /** An operator has requested the removal of a member; before that it is checked once more for a response. */
    record RemovalRequested(String member, String address, String incarnation) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.removal-requested";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("member", member);
            sink.field("address", address);
            sink.field("incarnation", incarnation);
        }
    }

    /** A member counts as permanently lost because an operator declared it so. */
    record MemberRemoved(String member, String address, String incarnation) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.member-removed";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("member", member);
            sink.field("address", address);
            sink.field("incarnation", incarnation);
        }
    }

    /** An append request does not match this member's log and is ignored. */
    record LogsDiffer(Ballot view, long index, Ballot ownView, Ballot leaderView) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.logs-differ";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("view", view);
            sink.field("index", index);
            sink.field("own-view", ownView);
            sink.field("leader-view", leaderView);
        }
    }

    /** A member lacks entries that the leader has already compacted, which must not happen within a view. */
    record BehindSnapshot(String member, long nextIndex, long snapshotIndex) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.behind-snapshot";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("member", member);
            sink.field("next-index", nextIndex);
            sink.field("snapshot-index", snapshotIndex);
        }
    }

    /** A proposed view is rejected because its log lacks committed entries. */
    record CommittedEntriesMissing(Ballot view, long lastIndex, long commitIndex) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.committed-entries-missing";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("view", view);
            sink.field("last-index", lastIndex);
            sink.field("commit-index", commitIndex);
        }
    }

    /** A state transfer continues from another source at the byte reached. */
    record TransferResumed(String source, String previousSource, int bytes, int totalBytes)
            implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.transfer-resumed";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("source", source);
            sink.field("previous-source", previousSource);
            sink.field("bytes", bytes);
            sink.field("total-bytes", totalBytes);
        }
    }

    /** A state transfer restarts from its first byte. */
    record TransferRestarted(String source, int bytes, String reason) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.transfer-restarted";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("source", source);
            sink.field("bytes", bytes);
            sink.field("why", reason);
        }
    }

    /** The received bytes of a state transfer do not match the announced digest. */
    record TransferCorrupt(String source, int bytes) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.transfer-corrupt";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("source", source);
            sink.field("bytes", bytes);
        }
    }

    /** A newcomer has fetched the state and sends a join request with it. */
    record TransferCompleted(String source, long lastIndex) implements ReplicationEvent {
        @Override
        public String name() {
            return "replication.transfer-completed";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("source", source);
            sink.field("last-index", lastIndex);
        }
    }
}
