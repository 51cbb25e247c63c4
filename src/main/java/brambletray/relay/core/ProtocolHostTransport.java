package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Sends each host its calls by the protocol that its list entry names. */
public final class ProtocolHostTransport implements HostTransport {
    private final Map<String, HostTransport> transports;

    /** {@code ways}: for each protocol the transport; hosts of any other are left out by membership. */
    public ProtocolHostTransport(Map<String, HostTransport> ways) {
        this.transports = Map.copyOf(ways);
    }

    private HostTransport transportFor(Host host) {
        return transports.get(host.protocol);
    }

    @Override
    public Call call(Host host, Message message, long timeoutUs, Consumer<CallReply> onReply) {
        return transportFor(host).call(host, message, timeoutUs, onReply);
    }

    @Override
    public List<Call> callBatch(Host host, List<Part> parts) {
        return transportFor(host).callBatch(host, parts);
    }

    @Override
    public void recall(Host host) {
        transportFor(host).recall(host);
    }

    @Override
    public void closeIdle(Host host) {
        transportFor(host).closeIdle(host);
    }

    @Override
    public boolean forget(Host host) {
        return transportFor(host).forget(host);
    }
}
