package brambletray.platform.election;

import brambletray.platform.logging.LogEvent;

/** Log events of a core member about the lease on a role. */
public sealed interface ElectionEvent extends LogEvent {
    /** This process has won the lease on the role. */
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

    /** This process no longer holds the lease. */
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

    /** A higher term was seen outside the core: the lease is valid again only once a majority has renewed it. */
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
