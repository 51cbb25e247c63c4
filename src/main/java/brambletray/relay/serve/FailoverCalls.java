package brambletray.relay.serve;

import brambletray.relay.core.CallReply;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostTransport;
import brambletray.relay.handover.ProcessHandover;
import brambletray.relay.message.Message;
import java.util.List;
import java.util.function.Consumer;

/** The way out of a process that may follow another: what is taken back here is taken back there too. */
record FailoverCalls(HostTransport own, ProcessHandover succession) implements HostTransport {
    @Override
    public Call call(Host host, Message message, long patience, Consumer<CallReply> whenEnded) {
        return own.call(host, message, patience, whenEnded);
    }

    @Override
    public List<Call> callBatch(Host host, List<Part> parts) {
        return own.callBatch(host, parts);
    }

    @Override
    public void recall(Host host) {
        own.recall(host);
        succession.takeBack(host);
    }

    @Override
    public void closeIdle(Host host) {
        own.closeIdle(host);
    }

    @Override
    public boolean forget(Host host) {
        return own.forget(host);
    }
}
