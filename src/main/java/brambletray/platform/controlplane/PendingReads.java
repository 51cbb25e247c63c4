package brambletray.platform.controlplane;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * Calls that wait for a read index: for the word of a majority that what has been applied here is the newest. For the
 * event loop only.
 */
final class PendingReads {
    private record PendingRead(ControlCall call, long receivedAtMs, Runnable onConfirmed) {}

    private final OperatorCalls.ReplicaAccess replica;
    private final LeaderContact leaderContact;
    private final Map<Long, PendingRead> pending = new HashMap<>();
    private long lastToken;

    PendingReads(OperatorCalls.ReplicaAccess replica, LeaderContact leaderContact) {
        this.replica = replica;
        this.leaderContact = leaderContact;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Bytes of the bodies of the calls that wait. */
    long bodyBytes() {
        long bytes = 0;
        for (PendingRead read : pending.values()) {
            bytes += read.call.body().length;
        }
        return bytes;
    }

    /** Runs {@code onConfirmed} once the present state is known to be the newest; else the call is rejected. */
    void confirm(ControlCall call, long receivedAtMs, Runnable onConfirmed) {
        pending.put(++lastToken, new PendingRead(call, receivedAtMs, onConfirmed));
        replica.requestReadIndex(lastToken);
    }

    void onReadIndexCompleted(long token, boolean confirmed) {
        PendingRead read = pending.remove(token);
        if (read == null) {
            return;
        }
        if (confirmed) {
            read.onConfirmed.run();
        } else if (!leaderContact.redirectToSuccessor(read.call)) {
            // a member that has left the view meanwhile names another, which can answer
            reject(read.call);
        }
    }

    /** Rejects the calls that were received at such times; their read indices may still complete, to no effect. */
    void rejectIf(LongPredicate receivedAtMs) {
        pending.values().stream()
                .filter(read -> receivedAtMs.test(read.receivedAtMs))
                .forEach(read -> reject(read.call));
    }

    private static void reject(ControlCall call) {
        call.reject(503, "controlplane.unsure", "not sure to know the newest");
    }
}
