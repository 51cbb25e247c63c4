package brambletray.relay.core;

/** The process that continues in place of a dispatcher after a handover. */
public interface Successor {
    /** Passes on the reply of a call that was in flight at the handover; exactly once for each. */
    void onCallEnded(String id, int attempt, String host, CallReply reply);
}
