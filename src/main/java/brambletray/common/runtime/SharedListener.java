package brambletray.common.runtime;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A listener on an address that several processes share (SO_REUSEPORT): the system deals new connections out
 * among them, into a queue for each. Who closes one resets what is in its queue, so that is taken in first.
 */
final class SharedListener extends NioServerSocketChannel {
    private static final Logger LOG = LoggerFactory.getLogger(SharedListener.class);

    SharedListener() {
        super(open());
    }

    private static ServerSocketChannel open() {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            return channel;
        } catch (IOException e) {
            throw new IllegalStateException("no listener can be made", e);
        }
    }

    /** Takes in what has connected; on its loop. */
    void acceptRest() {
        try {
            for (SocketChannel next = javaChannel().accept();
                    next != null;
                    next = javaChannel().accept()) {
                pipeline().fireChannelRead(new NioSocketChannel(this, next));
            }
            pipeline().fireChannelReadComplete();
        } catch (IOException e) {
            LOG.warn("connections not yet taken in are reset: {}", e.toString());
        }
    }
}
