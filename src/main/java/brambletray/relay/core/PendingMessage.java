package brambletray.relay.core;

import brambletray.relay.journal.Journal;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import java.util.ArrayList;
import java.util.List;

/** A message that the module holds, or that has calls out. */
final class PendingMessage {
    Message message;
    /** By number of attempt; null where none was made, or it was made before a restart. */
    final List<HostTransport.Call> calls = new ArrayList<>();

    Journal.Entry entry;
    boolean isCompleted;
    /** By number of attempt, the name of the host that it is out to; null for one that is not. */
    private final List<String> hostNames = new ArrayList<>(2);

    private int callsInFlight;

    PendingMessage(Message message, Journal.Entry entry) {
        this.message = message;
        this.entry = entry;
    }

    /** One that has had its end, of which only the id is known; calls for it are still out. */
    static PendingMessage completed(String id) {
        PendingMessage pending =
                new PendingMessage(new Message(id, "", 0, null, null, 0, 0, Body.of(new byte[0])), null);
        pending.isCompleted = true;
        return pending;
    }

    /** A call goes out, or is about to. */
    void onCallStarted(int attempt, String host) {
        while (hostNames.size() <= attempt) {
            hostNames.add(null);
        }
        hostNames.set(attempt, host);
        callsInFlight++;
    }

    /** It has ended, or did not go out. */
    void onCallEnded(int attempt) {
        hostNames.set(attempt, null);
        callsInFlight--;
    }

    boolean isInFlight(int attempt) {
        return attempt < hostNames.size() && hostNames.get(attempt) != null;
    }

    /** The name of the host that one went to. */
    String hostName(int attempt) {
        return hostNames.get(attempt);
    }

    /** Calls out. */
    int callsInFlight() {
        return callsInFlight;
    }
}
