package brambletray.common.simulation;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** A simulated listener. */
final class SimServerChannel extends AbstractServerChannel {
    private final SimNetwork network;
    private final ChannelConfig config = new SimConfig(this);
    private InetSocketAddress bound;
    private final boolean shared;
    private boolean open = true;

    SimServerChannel(SimNetwork network, boolean shared) {
        this.network = network;
        this.shared = shared;
    }

    /** True for one that others may share its address with. */
    boolean shared() {
        return shared;
    }

    /**
     * A connection has come up: handed to the pipeline as real listeners do, once its client will hear of
     * it.
     */
    void accept(SimChannel child, Runnable answer) {
        eventLoop().execute(() -> {
            answer.run();
            pipeline().fireChannelRead(child);
            pipeline().fireChannelReadComplete();
        });
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof SimLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return bound;
    }

    @Override
    protected void doBind(SocketAddress address) throws Exception {
        bound = network.free((InetSocketAddress) address);
        network.bind(bound, this);
    }

    @Override
    protected void doClose() {
        open = false;
        if (bound != null) {
            network.unbind(bound, this);
        }
    }

    @Override
    protected void doBeginRead() {
        // Connections are handed over as they come.
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && bound != null;
    }
}
