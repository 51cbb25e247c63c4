package brambletray.platform.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.epoll.Epoll;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Programs use the native transport on both kinds of machine: NIO can't notice a lost peer, nor a close unread. */
class SocketsTest {
    private static final int CONNECTIONS = 100;

    @ParameterizedTest
    @ValueSource(strings = {"x86_64", "aarch_64"})
    void theNativeTransportIsPackedFor(String architecture) {
        assertNotNull(getClass()
                .getClassLoader()
                .getResource("META-INF/native/libnetty_transport_native_epoll_" + architecture + ".so"));
    }

    /** Guards against clients that give up while an edge accepts a few connections in each round of its loop. */
    @Test
    void connectionsThatWaitAreAcceptedTogether() throws Exception {
        Machine machine = Sockets.machine();
        List<Integer> accepted = new CopyOnWriteArrayList<>();
        CountDownLatch all = new CountDownLatch(CONNECTIONS);
        Channel listener = machine.listening(new NoHandlers())
                .handler(new AcceptCounter(accepted, all))
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        InetSocketAddress address = (InetSocketAddress) listener.localAddress();
        CountDownLatch connected = new CountDownLatch(1);
        machine.loop().execute(() -> await(connected));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
        connected.countDown();
        assertTrue(await(all), accepted.toString());
        machine.loop()
                .parent()
                .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
        for (Socket client : clients) {
            client.close();
        }
        assertEquals(List.of(CONNECTIONS), accepted);
    }

    private static boolean await(CountDownLatch latch) {
        try {
            return latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static final class NoHandlers extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel child) {
            // accepting is all that is looked at
        }
    }

    /** Counts the connections that are accepted in one round of the loop. */
    private static final class AcceptCounter extends ChannelInboundHandlerAdapter {
        private final List<Integer> rounds;
        private final CountDownLatch all;
        private int inRound;

        AcceptCounter(List<Integer> rounds, CountDownLatch all) {
            this.rounds = rounds;
            this.all = all;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object child) {
            inRound++;
            context.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            rounds.add(inRound);
            for (; inRound > 0; inRound--) {
                all.countDown();
            }
            context.fireChannelReadComplete();
        }
    }

    @Test
    void theNativeTransportIsUsedOnThisMachine() {
        assertEquals("epoll", Sockets.transport(), () -> String.valueOf(Epoll.unavailabilityCause()));
    }
}
