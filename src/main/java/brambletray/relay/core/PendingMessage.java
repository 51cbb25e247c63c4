package brambletray.relay.core;

import brambletray.relay.journal.Journal;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import java.util.ArrayList;
import java.util.List;

/** A message that the control module holds, or that still has calls in flight. */
final class PendingMessage {
    Message message;
    /** The calls by attempt number; an element is null if the call was not made, or was made before a restart. */
    final List<HostTransport.Call> calls = new ArrayList<>();

    Journal.Entry entry;
    boolean isCompleted;
    /** By attempt number, the name of the host of a call in flight; null if it is not in flight. */
    private final List<String> hostNames = new ArrayList<>(2);

    private int callsInFlight;

    PendingMessage(Message message, Journal.Entry entry) {
        this.message = message;
        this.entry = entry;
    }

    /** Creates a completed message of which only the id is known, for calls that are still in flight. */
    static PendingMessage completed(String id) {
        PendingMessage pending =
                new PendingMessage(new Message(id, "", 0, null, null, 0, 0, Body.of(new byte[0])), null);
        pending.isCompleted = true;
        return pending;
    }

    /** A call is sent or about to be sent. */
    void onCallStarted(int attempt, String host) {
        while (hostNames.size() <= attempt) {
            hostNames.add(null);
        }
        hostNames.set(attempt, host);
        callsInFlight++;
    }

    /** A call has ended or was not sent. */
    void onCallEnded(int attempt) {
        hostNames.set(attempt, null);
        callsInFlight--;
    }

    boolean isInFlight(int attempt) {
        return attempt < hostNames.size() && hostNames.get(attempt) != null;
    }

    String hostName(int attempt) {
        return hostNames.get(attempt);
    }

    int callsInFlight() {
        return callsInFlight;
    }
}
