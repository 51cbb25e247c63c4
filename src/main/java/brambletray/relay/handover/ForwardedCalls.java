package brambletray.relay.handover;

import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostTransport;
import brambletray.relay.core.RemoteCalls;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** The calls that stayed with the process that handed on. Each ends once: as told, or reset with the link. */
final class ForwardedCalls implements RemoteCalls {
    private record Key(String id, int attempt) {}

    private final Function<String, Host> hosts;
    private final Consumer<HandoverFrame> tell;
    private final Map<Key, ReplyListener> out = new HashMap<>();
    /** A host for replies that name none: those of calls lost with the link. */
    private final Map<Key, Host> to = new HashMap<>();

    ForwardedCalls(Function<String, Host> hosts, Consumer<HandoverFrame> tell) {
        this.hosts = hosts;
        this.tell = tell;
    }

    @Override
    public HostTransport.Call takeOver(String id, int attempt, Host host, ReplyListener whenEnded) {
        Key key = new Key(id, attempt);
        out.put(key, whenEnded);
        to.put(key, host);
        return () -> {
            if (out.containsKey(key)) {
                tell.accept(new HandoverFrame.Cancel(id, attempt));
            }
        };
    }

    void ended(HandoverFrame.Ended told) {
        Key key = new Key(told.id(), told.attempt());
        ReplyListener whenEnded = out.remove(key);
        to.remove(key);
        if (whenEnded != null) {
            whenEnded.onReply(hosts.apply(told.host()), told.reply());
        }
    }

    /** The process that had them is gone, and its connections with it: they may have run. */
    void lost() {
        for (Key key : List.copyOf(out.keySet())) {
            out.remove(key).onReply(to.remove(key), new CallReply(Outcome.RESET, false, 0, 0, -1, -1, true));
        }
    }

    boolean any() {
        return !out.isEmpty();
    }
}
