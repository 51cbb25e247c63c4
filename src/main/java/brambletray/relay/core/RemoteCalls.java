package brambletray.relay.core;

/** Calls that another process has out for messages of this one. */
public interface RemoteCalls {
    /** Gets the reply of one, and the host that it was made to, exactly once. */
    interface WhenEnded {
        void ended(Host host, CallReply reply);
    }

    /** Takes over what is told of a call that is out. */
    HostTransport.Call out(String id, int attempt, Host host, WhenEnded whenEnded);
}
