package brambletray.relay.stage;

import brambletray.common.runtime.Machine;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Step;
import brambletray.relay.script.Script;
import brambletray.relay.serve.Config;
import brambletray.relay.serve.RelayProcess;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A script played in real time on loopback sockets: the scene on one thread, each relay on one of its own.
 * Without relays it is the partners and the agent only, for relays that are started elsewhere.
 */
public final class RealStage implements AutoCloseable {
    private static final int SOCKETS = 1_024;
    private static final double DISK_MB = 3;

    private final Script script;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Scene scene;
    private final List<RelayProcess> relays = new ArrayList<>();

    /**
     * {@code folder}: for the relays' configurations and journals; {@code agent}: where the agent listens.
     */
    public RealStage(Script script, long seed, Path folder, InetSocketAddress agent)
            throws InterruptedException, ExecutionException {
        this.script = script;
        this.folder = folder;
        InetAddress here = agent.getAddress();
        scene = on(() -> new Scene(Machine.real(loop), script, seed, new Scene.Plan() {
            @Override
            public InetSocketAddress partner(int index) {
                return new InetSocketAddress(here, 0);
            }

            @Override
            public InetSocketAddress agent(int relay) {
                return relay == 0 ? agent : new InetSocketAddress(here, 0);
            }

            @Override
            public String caller(int relay) {
                return here.getHostAddress();
            }
        }));
        await(on(scene::listen));
        await(on(scene::listenAgents));
    }

    private <T> T on(Callable<T> task) throws InterruptedException, ExecutionException {
        return loop.submit(task).get();
    }

    private static void await(List<ChannelFuture> all) throws InterruptedException, ExecutionException {
        for (ChannelFuture future : all) {
            future.get();
        }
    }

    /** Writes the configuration of a relay that will listen there; the platform's form. */
    public Path configure(int relay, InetSocketAddress listen)
            throws IOException, InterruptedException, ExecutionException {
        Path file = folder.resolve("relay-" + relay + ".json");
        scene.writeFiles(relay, folder, listen.getAddress(), 0);
        return Files.writeString(file, on(() -> scene.config(relay, listen, SOCKETS, DISK_MB)));
    }

    /** Starts the script's relays, each on a thread of its own. */
    public void startRelays() throws IOException, InterruptedException, ExecutionException, Config.Unusable {
        for (int i = 0; i < script.fleet().relays(); i++) {
            Path state = Files.createDirectories(folder.resolve("relay-" + i));
            Path file = configure(i, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Map<String, String> env = Map.of("EDGE_CONFIG", file.toString(), "EDGE_STATE", state.toString());
            relays.add(new RelayProcess(Config.read(env)));
        }
    }

    /** Told, on the stage's thread, of each of the script's events as it begins. */
    public void whenBegun(Consumer<Step> told) throws InterruptedException, ExecutionException {
        on(() -> {
            scene.whenBegun(told);
            return null;
        });
    }

    /** Lets the script begin, with clients if there are relays. */
    public void begin() throws InterruptedException, ExecutionException {
        List<InetSocketAddress> addresses =
                relays.stream().map(RelayProcess::address).toList();
        List<InetSocketAddress> mqtt = relays.stream()
                .map(relayProcess -> RelayConfig.speaksMqtt(script) ? relayProcess.mqttAddress() : null)
                .toList();
        on(() -> {
            scene.begin(addresses, mqtt);
            return null;
        });
    }

    /** Calls this once a second on the stage's thread, until it says that it is enough; then returns. */
    public void watch(Watcher watcher) throws InterruptedException, ExecutionException {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.scheduleAtFixedRate(
                () -> {
                    try {
                        if (!watcher.look(scene)) {
                            over.complete(null);
                        }
                    } catch (RuntimeException e) {
                        over.completeExceptionally(e);
                    }
                },
                1,
                1,
                TimeUnit.SECONDS);
        over.get();
    }

    /** Looks at the scene once a second. */
    public interface Watcher {
        /** False when it has seen enough. */
        boolean look(Scene scene);
    }

    /** The figures up to now. */
    public Score.Result result() throws InterruptedException, ExecutionException {
        return on(scene::result);
    }

    /** Where the agent of a relay listens. */
    public InetSocketAddress agent(int relay) throws InterruptedException, ExecutionException {
        return on(() -> scene.agentAddress(relay));
    }

    /** Where an endpoint listens. */
    public InetSocketAddress address(Endpoint endpoint) throws InterruptedException, ExecutionException {
        return on(() -> scene.address(endpoint));
    }

    public List<Endpoint> endpoints() {
        return scene.world().endpoints();
    }

    @Override
    public void close() {
        relays.forEach(RelayProcess::close);
        loop.submit(scene::close).awaitUninterruptibly();
        group.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}
