package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.ClientLimits;
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

/** What clients connect to (PROTOCOL, How clients arrive). The loop's. */
public final class FrontEndServer {
    /** ms between looks at connections for their time. */
    private static final int SWEEP_INTERVAL_MS = 250;

    private final Machine machine;
    private final RequestRouter requestRouter;
    private final int maxClients;
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    private Channel listener;
    private boolean isDraining;

    /** {@code maxClients}: connections at once; the rest of the descriptors is for hosts and relays. */
    public FrontEndServer(Machine machine, RequestRouter requestRouter, int maxClients) {
        this.machine = machine;
        this.requestRouter = requestRouter;
        this.maxClients = maxClients;
        machine.loop().scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Listens; the future fails where the address can't be had. */
    public ChannelFuture listen(Address at) {
        ChannelFuture bound = machine.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientLimits limits = requestRouter.limits();
                        ClientConnection client = new ClientConnection(FrontEndServer.this, limits);
                        channel.pipeline().addLast(new RequestDecoder(client, limits.maxHeaderBytes()), client);
                    }
                })
                .bind(new InetSocketAddress(at.host(), at.port()));
        listener = bound.channel();
        return bound;
    }

    RequestRouter requestRouter() {
        return requestRouter;
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

    /** From now on each answer ends its connection; new ones are still taken. */
    void drain() {
        isDraining = true;
    }

    /** Takes no new connections, and closes those on which no request has begun, once the answer before is out. */
    void stopAccepting() {
        isDraining = true;
        if (listener != null) {
            Machine.close(listener);
        }
        for (ClientConnection client : List.copyOf(clients)) {
            client.closeIfIdle();
        }
    }

    /** Answers each request that still waits, and from now on each new one at once: the process is about to end. */
    void answerNow() {
        requestRouter.rejectNew();
        for (ClientConnection client : List.copyOf(clients)) {
            client.answerNow();
        }
    }

    /** Connections of clients now. */
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
