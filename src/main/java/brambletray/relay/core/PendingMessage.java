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
    boolean over;
    /** By number of attempt, the name of the host that it is out to; null for one that is not. */
    private final List<String> to = new ArrayList<>(2);

    private int out;

    PendingMessage(Message message, Journal.Entry entry) {
        this.message = message;
        this.entry = entry;
    }

    /** One that has had its end, of which only the id is known; calls for it are still out. */
    static PendingMessage over(String id) {
        PendingMessage h = new PendingMessage(new Message(id, "", 0, null, null, 0, 0, Body.of(new byte[0])), null);
        h.over = true;
        return h;
    }

    /** A call goes out, or is about to. */
    void begun(int attempt, String host) {
        while (to.size() <= attempt) {
            to.add(null);
        }
        to.set(attempt, host);
        out++;
    }

    /** It has ended, or did not go out. */
    void done(int attempt) {
        to.set(attempt, null);
        out--;
    }

    boolean isOut(int attempt) {
        return attempt < to.size() && to.get(attempt) != null;
    }

    /** The name of the host that one went to. */
    String host(int attempt) {
        return to.get(attempt);
    }

    /** Calls out. */
    int out() {
        return out;
    }
}
