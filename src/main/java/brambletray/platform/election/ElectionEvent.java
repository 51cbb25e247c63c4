package brambletray.platform.election;

import brambletray.platform.logging.LogEvent;

/** What a member of the core logs about the lease on a role. */
public sealed interface ElectionEvent extends LogEvent {
    /** This process holds the lease on the role from now on. */
    record Won(String role, long term, long view) implements ElectionEvent {
        @Override
        public String name() {
            return "election.won";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("role", role);
            sink.field("term", term);
            sink.field("view", view);
        }
    }

    /** This process holds the lease no longer. */
    record Lost(String role, long term, String reason) implements ElectionEvent {
        @Override
        public String name() {
            return "election.lost";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("role", role);
            sink.field("term", term);
            sink.field("why", reason);
        }
    }

    /** A higher term was seen outside the core: the lease counts only once a majority has renewed it. */
    record Revalidating(String role, long term, long seenTerm) implements ElectionEvent {
        @Override
        public String name() {
            return "election.revalidating";
        }

        @Override
        public void writeFields(FieldSink sink) {
            sink.field("role", role);
            sink.field("term", term);
            sink.field("seen-term", seenTerm);
        }
    }
}
