package brambletray.relay.core;

/** Calls that another process has out for messages of this one. */
public interface RemoteCalls {
    /** Gets the reply of one, and the host that it was made to, exactly once. */
    interface ReplyListener {
        void onReply(Host host, CallReply reply);
    }

    /** Takes over what is told of a call that is out. */
    HostTransport.Call takeOver(String id, int attempt, Host host, ReplyListener whenEnded);
}
