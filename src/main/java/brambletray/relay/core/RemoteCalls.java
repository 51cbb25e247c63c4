package brambletray.relay.core;

/** Calls that another process has in flight for messages of this one, after a handover. */
public interface RemoteCalls {
    /** Receives the reply of a call and the host that it was made to, exactly once. */
    interface ReplyListener {
        void onReply(Host host, CallReply reply);
    }

    /** Registers a listener for the reply of a call in flight. */
    HostTransport.Call takeOver(String id, int attempt, Host host, ReplyListener listener);
}
