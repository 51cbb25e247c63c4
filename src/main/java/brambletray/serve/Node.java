package brambletray.serve;

import brambletray.core.Loop;
import brambletray.http.clients.Server;
import brambletray.http.hosts.HostPool;
import brambletray.journal.Journal;
import brambletray.membership.Discovery;
import brambletray.membership.HostList;
import brambletray.wire.Wire;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** One real relay: its parts put together, its start and its orderly end. */
public final class Node implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /**
     * ms from SIGTERM: clients are served on for the first, all is over by the second (SIGKILL may come at
     * 3.7 s).
     */
    private static final long SERVE_ON = 600, LEAVE_BY = 3_300;
    private static final long LOOK = 20;

    private final MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final CountDownLatch left = new CountDownLatch(1);
    private final Journal journal;
    private Loop loop;
    private Server server;
    private Channel listener;

    /** Takes up what the journal holds, and serves. */
    public Node(Config config) throws IOException, InterruptedException, ExecutionException {
        journal = new Journal(config.state(), config.diskBytes(), config.settings().allowed().attempts());
        ChannelFuture bound = thread.submit(() -> begin(config)).get();
        listener = bound.channel();
        bound.get();
        LOG.info("serving on {}, {} messages taken up", address(), journal.owed().size());
    }

    /** Serves until the process is told to end; 2 where the configuration is of no use. */
    public static int serve(Map<String, String> env) {
        // First of all: without a handler SIGHUP ends the process.
        Hangups hangups = new Hangups(env);
        Signal.handle(new Signal("HUP"), hangups);
        try {
            Config config = Config.read(env);
            WarmUp.run(config);
            Node node = new Node(config);
            hangups.serves(node);
            Runtime.getRuntime().addShutdownHook(new Thread(node::leave, "leave"));
            node.left.await();
            return 0;
        } catch (Config.Unusable e) {
            System.err.println(e.getMessage());
        } catch (IOException e) {
            System.err.println("cannot open the journal: " + e);
        } catch (ExecutionException e) {
            System.err.println("cannot start: " + e.getCause());
        } catch (InterruptedException e) {
            System.err.println("interrupted at the start");
        }
        return 2;
    }

    /** SIGHUP: the configuration has been replaced. One that comes before the relay serves is not lost. */
    private static final class Hangups implements SignalHandler {
        private final Map<String, String> env;
        private Node node;
        private boolean early;

        Hangups(Map<String, String> env) {
            this.env = env;
        }

        @Override
        public synchronized void handle(Signal hangup) {
            early = node == null;
            if (!early) {
                node.reload(env);
            }
        }

        private synchronized void serves(Node ready) {
            node = ready;
            if (early) {
                node.reload(env);
            }
        }
    }

    /**
     * Reads the configuration anew. Discovery's address is taken over; the rest holds until a restart. A
     * configuration of no use changes nothing.
     */
    public void reload(Map<String, String> env) {
        thread.execute(() -> {
            try {
                loop.discoveryAt(Config.readAgain(env).discovery());
            } catch (Config.Unusable e) {
                LOG.warn("the configuration stays as it was: {}", e.getMessage());
            }
        });
    }

    private ChannelFuture begin(Config config) throws Wire.Malformed {
        Bootstrap calls = new Bootstrap().group(thread)
            .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false));
        HostList hosts = new HostList(config.zones(), config.kinds());
        HostPool pool = new HostPool(thread, calls, config.settings().allowed().connectTimeout(),
            config.settings().allowed().keepAlive());
        loop = new Loop(thread, config.seed(), config.settings(), hosts, pool, journal);
        Discovery discovery = new Discovery(thread, calls, config.discovery(), hosts, loop::listed,
            loop::noticed);
        loop.start(discovery, config.known().values().isEmpty() ? null : hosts.update(config.known()));
        server = new Server(loop, thread, config.sockets() / 2);
        ServerBootstrap bootstrap = new ServerBootstrap().group(thread, thread)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
            .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
            .childOption(ChannelOption.TCP_NODELAY, true).childHandler(server);
        return bootstrap.bind(config.listen());
    }

    /** The address that clients connect to. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** True when nothing is owed any more. */
    public boolean idle() throws InterruptedException, ExecutionException {
        return thread.submit(loop::idle).get();
    }

    /**
     * The orderly end: connections are served until clients have turned away, then what is held is worked
     * off. What is left stays in the journal, as it does when the process is killed.
     */
    public void leave() {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAVE_BY);
        try {
            thread.execute(server::leave);
            Thread.sleep(SERVE_ON);
            thread.submit(() -> {
                listener.close();
                server.closeClients();
            }).get();
            while (System.nanoTime() < by && !idle()) {
                Thread.sleep(LOOK);
            }
        } catch (InterruptedException | ExecutionException e) {
            LOG.error("left at once", e);
        }
        close();
    }

    /** The abrupt end: what is owed stays in the journal. */

    @Override
    public void close() {
        thread.submit(loop::stop).awaitUninterruptibly();
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        try {
            journal.close();
        } catch (IOException e) {
            LOG.error("journal not closed", e);
        }
        left.countDown();
    }
}
