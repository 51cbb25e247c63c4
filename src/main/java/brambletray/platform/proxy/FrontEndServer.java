package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.settings.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Accepts client connections (PROTOCOL, How clients arrive) and enforces their timeouts. To be used on the loop only.
 */
public final class FrontEndServer {
    /** ms between checks of the connections' timeouts. */
    private static final int SWEEP_INTERVAL_MS = 250;

    private final Machine machine;
    private final RequestRouter requestRouter;
    private final int maxClients;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private Channel listener;
    private boolean isDraining;

    /**
     * {@code maxClients}: maximum number of client connections; the remaining file descriptors are for hosts and
     * relays.
     */
    public FrontEndServer(Machine machine, RequestRouter requestRouter, int maxClients) {
        this.machine = machine;
        this.requestRouter = requestRouter;
        this.maxClients = maxClients;
        machine.loop().scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts to listen; the future fails if the address cannot be bound. */
    public ChannelFuture listen(Address at) {
        ChannelFuture bound = machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientConnection client = new ClientConnection(FrontEndServer.this);
                        channel.pipeline().addLast(new RequestDecoder(client), client);
                    }
                })
                .bind(new InetSocketAddress(at.host(), at.port()));
        listener = bound.channel();
        return bound;
    }

    Machine machine() {
        return machine;
    }

    RequestRouter requestRouter() {
        return requestRouter;
    }

    RequestCounters counters() {
        return requestRouter.counters();
    }

    MemoryBudget memoryBudget() {
        return requestRouter.memoryBudget();
    }

    boolean isDraining() {
        return isDraining;
    }

    long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    /** From now on each response closes its connection; new connections are still accepted. */
    void drain() {
        isDraining = true;
    }

    /**
     * Stops accepting connections and closes those on which no request has begun, after the previous response has been
     * written.
     */
    void stopAccepting() {
        isDraining = true;
        if (listener != null) {
            Machine.close(listener);
        }
        for (ClientConnection client : List.copyOf(clients)) {
            client.closeIfIdle();
        }
    }

    /** Answers each waiting request, and from now on each new one immediately: the process is about to exit. */
    void answerNow() {
        requestRouter.rejectNew();
        for (ClientConnection client : List.copyOf(clients)) {
            client.answerNow();
        }
    }

    /** Number of open client connections. */
    public int connectionCount() {
        return clients.size();
    }

    void onConnected(ClientConnection client) {
        clients.add(client);
        if (clients.size() > maxClients) {
            for (ClientConnection other : clients) {
                if (other != client && other.isIdle()) {
                    other.closeNow();
                    return;
                }
            }
            client.closeNow();
        }
    }

    void onDisconnected(ClientConnection client) {
        clients.remove(client);
    }

    private void sweep() {
        if (!clients.isEmpty()) {
            long now = now();
            for (ClientConnection client : new ArrayList<>(clients)) {
                client.checkTimeouts(now);
            }
        }
    }
}
