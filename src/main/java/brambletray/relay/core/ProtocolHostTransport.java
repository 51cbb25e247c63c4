package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Sends each host its calls by the protocol that its list entry names. */
public final class ProtocolHostTransport implements HostTransport {
    private final Map<String, HostTransport> ways;

    /** {@code ways}: for each protocol the way out; hosts of any other are left out by membership. */
    public ProtocolHostTransport(Map<String, HostTransport> ways) {
        this.ways = Map.copyOf(ways);
    }

    private HostTransport way(Host host) {
        return ways.get(host.protocol);
    }

    @Override
    public Call call(Host host, Message message, long patience, Consumer<CallReply> whenEnded) {
        return way(host).call(host, message, patience, whenEnded);
    }

    @Override
    public List<Call> bundle(Host host, List<Part> parts) {
        return way(host).bundle(host, parts);
    }

    @Override
    public void takeBack(Host host) {
        way(host).takeBack(host);
    }

    @Override
    public void closeIdle(Host host) {
        way(host).closeIdle(host);
    }

    @Override
    public boolean forget(Host host) {
        return way(host).forget(host);
    }
}
