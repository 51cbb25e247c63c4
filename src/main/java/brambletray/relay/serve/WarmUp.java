package brambletray.relay.serve;

import brambletray.common.runtime.Clock;
import brambletray.relay.store.RealDisk;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Wire;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Warms the virtual machine up before a relay serves for the first time: a second relay with a journal of its
 * own passes messages on to a stand-in on the same address, until its code is loaded and compiled. Cold, the
 * first seconds of traffic take more than a relay's part of a core, and what they leave undone waits long.
 * Skipped at a restart, when what is held waits and a relay is missed; not where another process serves while
 * this one is to take its place: there is time, though less of it, and a hand-over is played too.
 */
final class WarmUp {
    private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
    private static final int MESSAGES = 600;
    private static final int SILENT_MOST_MS = 5_000;
    private static final long TIME_MOST = TimeUnit.SECONDS.toNanos(5);
    private static final long TIME_BESIDE = TimeUnit.MILLISECONDS.toNanos(2_200);

    private WarmUp() {}

    /** Runs on the calling thread; a warm-up that fails is no fault of the relay's. */
    static void run(Config config) throws InterruptedException {
        boolean again = Files.exists(config.state().resolve("MANIFEST"))
                || Files.exists(config.state().resolve("journal"));
        boolean beside = again && RelayInstance.handsOver(config) && Store.inUse(new RealDisk(config.state()));
        if (again && !beside) {
            return;
        }
        Path folder = beside
                ? temporary().resolve("warmup-" + ProcessHandle.current().pid())
                : config.state().resolve("warmup");
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            Files.createDirectories(folder);
            InetAddress here = config.listen().getAddress();
            InetSocketAddress standIn = (InetSocketAddress) new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new StandIn())
                    .bind(new InetSocketAddress(here, 0))
                    .sync()
                    .channel()
                    .localAddress();
            InetSocketAddress free = new InetSocketAddress(here, 0);
            InetSocketAddress console = config.console() == null
                    ? null
                    : new InetSocketAddress(config.console().getAddress(), 0);
            try (RelayProcess relay = new RelayProcess(scene(config, folder, free, console, standIn))) {
                play(config, relay.address(), beside ? TIME_BESIDE : TIME_MOST);
                if (beside) {
                    try (RelayProcess next =
                            new RelayProcess(scene(config, folder, relay.address(), console, standIn))) {
                        relay.leave();
                    }
                }
            }
        } catch (IOException | ExecutionException e) {
            LOG.warn("not warmed up: {}", e.toString());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
            clear(folder);
        }
    }

    /** Where files go that need not last; it may be the only other place that can be written. */
    private static Path temporary() {
        String named = System.getenv("TMPDIR");
        return Path.of(named == null || named.isEmpty() ? System.getProperty("java.io.tmpdir") : named);
    }

    private static Config scene(
            Config config, Path folder, InetSocketAddress listen, InetSocketAddress console, InetSocketAddress standIn)
            throws Wire.Malformed {
        String known = "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\""
                + standIn.getAddress().getHostAddress() + ":" + standIn.getPort() + "\",\"site\":\""
                + config.zones().get(0) + "\",\"class\":\"" + config.kinds().get(0)
                + "\",\"block\":1,\"health\":\"ready\",\"share\":1000}]}";
        return new Config(
                listen,
                console,
                standIn,
                folder,
                config.seed(),
                config.sockets(),
                config.diskBytes(),
                config.promise(),
                config.settings(),
                config.zones(),
                config.kinds(),
                Wire.decode(known),
                null,
                null);
    }

    /** Hands messages in, one at a time, on a connection for every few of them. */
    private static void play(Config config, InetSocketAddress relay, long most) throws IOException {
        String name = config.settings().classes().get(0).name();
        Clock clock = Clock.system();
        long by = clock.nanos() + most;
        int sent = 0;
        while (sent < MESSAGES && clock.nanos() < by) {
            try (Socket socket = new Socket(relay.getAddress(), relay.getPort())) {
                socket.setSoTimeout(SILENT_MOST_MS);
                for (int i = 0; i < 10; i++) {
                    String request = "POST /" + name + " HTTP/1.1\r\nHost: relay\r\nX-Request-ID: r" + sent++
                            + "\r\nX-Priority-Class: " + name + "\r\nX-Timeout-Ms: 2000"
                            + "\r\nIdempotency-Key: k" + sent
                            + "\r\nX-Envelope: dest=1\r\nContent-Length: 200\r\n\r\n" + "x".repeat(200);
                    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    readHead(socket.getInputStream());
                }
            }
        }
    }

    private static void readHead(InputStream in) throws IOException {
        int ends = 0;
        while (ends < 4) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no answer");
            }
            ends = next == '\r' || next == '\n' ? ends + 1 : 0;
        }
    }

    private static void clear(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            LOG.warn("left behind: {}", folder, e);
        }
    }

    /** Host and agent of discovery in one: takes every message and notice, and has no news. */
    private static final class StandIn extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(1 << 16),
                            new SimpleChannelInboundHandler<FullHttpRequest>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
                                    if (request.uri().startsWith("/v1/servers")) {
                                        return;
                                    }
                                    FullHttpResponse answer = new DefaultFullHttpResponse(
                                            HttpVersion.HTTP_1_1,
                                            HttpResponseStatus.valueOf(
                                                    request.uri().equals("/reports") ? 204 : 200),
                                            Unpooled.EMPTY_BUFFER);
                                    answer.headers()
                                            .set("X-Server-Load", "x0=0.9,x1=1000")
                                            .set(HttpHeaderNames.CONTENT_LENGTH, 0);
                                    context.writeAndFlush(answer);
                                }
                            });
        }
    }
}
