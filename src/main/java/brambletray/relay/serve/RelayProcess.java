package brambletray.relay.serve;

import brambletray.common.runtime.Machine;
import brambletray.relay.journal.Journal;
import brambletray.relay.store.RealDisk;
import brambletray.relay.store.UntrustedStore;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** One relay as a process of its own, or in a thread of its own: its thread, its signals, its end. */
public final class RelayProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RelayProcess.class);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop thread = group.next();
    private final CountDownLatch left = new CountDownLatch(1);
    private final RelayInstance instance;
    private final RelayInstance.Surroundings surroundings;
    private final InetSocketAddress address;
    /** Why this process ended by itself; null where it was told to. */
    private volatile String fault;

    /** Takes up what the journal holds, and serves. */
    public RelayProcess(Config config) throws IOException, InterruptedException, ExecutionException {
        this(config, null);
    }

    /** {@code surroundings}: null for the platform's agent. */
    public RelayProcess(Config config, RelayInstance.Surroundings surroundings)
            throws IOException, InterruptedException, ExecutionException {
        this.surroundings = surroundings;
        if (surroundings == null && RelayInstance.handsOver(config)) {
            instance = thread.submit(
                            () -> new RelayInstance(Machine.real(thread), config, new RealDisk(config.state())))
                    .get();
            thread.execute(() -> instance.whenOver(why -> {
                fault = why;
                left.countDown();
            }));
            try {
                instance.serving().get();
            } catch (ExecutionException e) {
                close();
                throw e;
            }
        } else {
            Journal journal = Journal.open(
                    new RealDisk(config.state()),
                    config.diskBytes(),
                    config.promise(),
                    config.settings().allowed().attempts());
            if (surroundings != null) {
                try {
                    surroundings.beforeOwning(Machine.real(thread), journal);
                } catch (IOException | RuntimeException e) {
                    journal.close();
                    group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
                    throw e;
                }
            }
            instance = thread.submit(() -> surroundings == null
                            ? new RelayInstance(Machine.real(thread), config, journal)
                            : new RelayInstance(Machine.real(thread), config, journal, surroundings))
                    .get();
            instance.bound().get();
        }
        address = (InetSocketAddress) instance.bound().channel().localAddress();
        if (instance.mqttBound() != null) {
            instance.mqttBound().get();
            LOG.info("MQTT clients on {}", mqttAddress());
        }
        if (instance.consoleBound() != null) {
            instance.consoleBound().get();
            LOG.info("operators on {}", consoleAddress());
        }
        LOG.info(
                "serving on {}, {} messages taken up",
                address,
                thread.submit(instance::held).get());
    }

    /** Serves until the process is told to end; 2 where the configuration is of no use. */
    public static int serve(Map<String, String> env) {
        // First of all: without a handler SIGHUP ends the process.
        Hangups hangups = new Hangups(env);
        Signal.handle(new Signal("HUP"), hangups);
        return serve(() -> Config.read(env), null, hangups::serves);
    }

    /** A configuration that may be of no use. */
    @FunctionalInterface
    public interface Source {
        Config config() throws Config.Unusable;
    }

    /** The same, for a relay without the platform's agent, or with one that is configured otherwise. */
    public static int serve(
            Source source, RelayInstance.Surroundings surroundings, Consumer<RelayProcess> whenServing) {
        try {
            Config config = source.config();
            if (surroundings == null) {
                WarmUp.run(config);
            }
            RelayProcess node = new RelayProcess(config, surroundings);
            if (surroundings != null) {
                // Without a handler SIGHUP ends the process.
                Signal.handle(new Signal("HUP"), hangup -> node.hangup());
            }
            whenServing.accept(node);
            Runtime.getRuntime().addShutdownHook(new Thread(node::leave, "leave"));
            node.left.await();
            if (node.fault == null) {
                return 0;
            }
            System.err.println(node.fault);
        } catch (Config.Unusable e) {
            System.err.println(e.getMessage());
        } catch (IOException e) {
            System.err.println(
                    e instanceof UntrustedStore
                            ? "the store in EDGE_STATE can't be trusted: " + e.getMessage()
                                    + "; 'java -jar brambletray.jar store verify DIR' says more, 'store salvage DIR NEW'"
                                    + " saves what can be read"
                            : e instanceof StoreLockedException
                                    ? e.getMessage()
                                    : "cannot open the store in EDGE_STATE: " + e.getMessage());
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            System.err.println("cannot start: " + (cause instanceof IOException ? cause.getMessage() : cause));
        } catch (InterruptedException e) {
            System.err.println("interrupted at the start");
        }
        return 2;
    }

    /** SIGHUP: the configuration has been replaced. One that comes before the relay serves is not lost. */
    private static final class Hangups implements SignalHandler {
        private final Map<String, String> env;
        private RelayProcess node;
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

        private synchronized void serves(RelayProcess ready) {
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
                instance.discoveryAt(Config.readAgain(env).discovery());
                instance.reloadQuotas();
            } catch (Config.Unusable e) {
                LOG.warn("the configuration stays as it was: {}", e.getMessage());
            }
        });
    }

    /** What SIGHUP asks of a relay without the platform's agent. */
    public void hangup() {
        thread.execute(() -> {
            surroundings.hangup();
            instance.reloadQuotas();
        });
    }

    /** The address that clients connect to. */
    public InetSocketAddress address() {
        return address;
    }

    /** The address that MQTT clients connect to. */
    public InetSocketAddress mqttAddress() {
        return (InetSocketAddress) instance.mqttBound().channel().localAddress();
    }

    /** The address that operators call. */
    public InetSocketAddress consoleAddress() {
        return (InetSocketAddress) instance.consoleBound().channel().localAddress();
    }

    /** True where this process owns the folder, and decides. */
    public boolean owns() throws InterruptedException, ExecutionException {
        return thread.submit(instance::owns).get();
    }

    /** Connections of clients. */
    int clients() throws InterruptedException, ExecutionException {
        return thread.submit(instance::clients).get();
    }

    /** True when nothing is owed any more. */
    public boolean idle() throws InterruptedException, ExecutionException {
        return thread.submit(instance::idle).get();
    }

    /** The orderly end; returns when it is over. */
    public void leave() {
        CountDownLatch over = new CountDownLatch(1);
        thread.execute(() -> instance.leave(over::countDown));
        try {
            over.await();
        } catch (InterruptedException e) {
            LOG.error("left at once", e);
        }
        close();
    }

    /** The abrupt end: what is owed stays in the journal. */
    @Override
    public void close() {
        if (!group.isShuttingDown()) {
            thread.submit(instance::stop).awaitUninterruptibly();
            group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        }
        left.countDown();
    }
}
