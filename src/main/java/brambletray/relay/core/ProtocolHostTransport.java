package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Selects the transport for each host by the protocol in its list entry. */
public final class ProtocolHostTransport implements HostTransport {
    private final Map<String, HostTransport> transports;

    /** {@code transports}: by protocol; the host list omits hosts of other protocols. */
    public ProtocolHostTransport(Map<String, HostTransport> transports) {
        this.transports = Map.copyOf(transports);
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
