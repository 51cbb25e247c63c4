package brambletray.relay.core;

/** Whoever goes on in the place of a loop that was handed on. */
public interface Successor {
    /** A call that was out has its reply; exactly once for each. */
    void onCallEnded(String id, int attempt, String host, CallReply reply);
}
