package brambletray.relay.mqtt;

import brambletray.relay.stub.PlatformStub;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttPublishVariableHeader;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Messages a second, CPU and latency of MQTT clients beside HTTP clients at one relay in one run, and memory for
 * each connection of either; run by bench/mqtt. The relay is a process of its own; clients and partner share this
 * one.
 */
final class MqttBench {
    private static final int CLIENTS = 32;
    private static final int BODY = 200;
    private static final int CONNECTIONS = Integer.getInteger("connections", 10_000);
    private static final int SECONDS = Integer.getInteger("seconds", 8);
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private MqttBench() {}

    /** How clients hand in. */
    private enum Way {
        HTTP,
        MQTT_QOS1,
        MQTT_QOS2
    }

    private static long ids;

    /** The relay's process. */
    private record Relay(Process process, InetSocketAddress http, InetSocketAddress mqtt) {
        /** User and system time, s. */
        double cpu() throws Exception {
            String[] stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"))
                    .split("\\) ")[1]
                    .split(" ");
            return (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / 100.0;
        }

        /** Heap that lives, kB, after a collection. */
        long heapKb() throws Exception {
            String jcmd =
                    Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
            for (int i = 0; i < 2; i++) {
                new ProcessBuilder(jcmd, "" + process.pid(), "GC.run")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor();
            }
            Process info = new ProcessBuilder(jcmd, "" + process.pid(), "GC.heap_info").start();
            String text = new String(info.getInputStream().readAllBytes());
            Matcher used = Pattern.compile("(?:def new|tenured) generation.*used (\\d+)K")
                    .matcher(text);
            long sum = 0;
            while (used.find()) {
                sum += Long.parseLong(used.group(1));
            }
            return sum;
        }

        long residentKb() throws Exception {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
            return -1;
        }
    }

    private static Relay relay(Path folder, int partner) throws Exception {
        PlatformStub platform = new PlatformStub(folder);
        platform.openCap = 2_000;
        platform.slots = 1_000;
        platform.more = "\"mqtt\":\"mqtt.yaml\",";
        Files.writeString(
                folder.resolve("mqtt.yaml"),
                "listen: 127.0.0.1:0\nlimits: {connections: 20000,"
                        + " sessions: 20000, remember_s: 5, receive_maximum: 100}\n");
        var env = platform.configure(
                platform, PlatformStub.host("s-1", partner, 7, "ready").replace("\"share\":50", "\"share\":20000"));
        Path config = Path.of(env.get("EDGE_CONFIG"));
        Files.writeString(
                config,
                Files.readString(config)
                        .replace("\"sockets\":1024,\"disk_mb\":3", "\"sockets\":60000,\"disk_mb\":300"));
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "brambletray.Main",
                        "serve")
                .redirectErrorStream(true);
        builder.environment().putAll(env);
        Process process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroy));
        BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
        InetSocketAddress http = null;
        InetSocketAddress mqtt = null;
        // Its warm-up serves too, before, and takes no MQTT: what counts is the address told after MQTT's.
        for (String line; (mqtt == null || http == null) && (line = out.readLine()) != null; ) {
            Matcher at = Pattern.compile("(serving|MQTT clients) on .*:(\\d+)").matcher(line);
            if (at.find()) {
                var address = new InetSocketAddress(PlatformStub.LOOPBACK, Integer.parseInt(at.group(2)));
                http = at.group(1).equals("serving") && mqtt != null ? address : null;
                mqtt = at.group(1).equals("serving") ? mqtt : address;
            }
        }
        Thread drain = new Thread(() -> {
            try {
                while (out.readLine() != null) {
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                // The process has ended.
            }
        });
        drain.setDaemon(true);
        drain.start();
        return new Relay(process, http, mqtt);
    }

    /** A partner that answers at once. */
    private static int partner() throws Exception {
        return ((InetSocketAddress) new ServerBootstrap()
                        .group(GROUP)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel c) {
                                c.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(65_536),
                                                new SimpleChannelInboundHandler<FullHttpRequest>() {
                                                    @Override
                                                    protected void channelRead0(
                                                            ChannelHandlerContext context, FullHttpRequest request) {
                                                        var ok = new DefaultFullHttpResponse(
                                                                HttpVersion.HTTP_1_1,
                                                                HttpResponseStatus.OK,
                                                                Unpooled.EMPTY_BUFFER);
                                                        ok.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                                                        context.writeAndFlush(ok);
                                                    }
                                                });
                            }
                        })
                        .bind(PlatformStub.LOOPBACK, 0)
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
    }

    /** What a round saw; latencies in us. */
    private static final class Seen {
        long taken;
        long refused;
        long[] latency = new long[1 << 20];
        int count;

        void answered(long began, boolean ok) {
            taken += ok ? 1 : 0;
            refused += ok ? 0 : 1;
            if (count < latency.length) {
                latency[count++] = (System.nanoTime() - began) / 1_000;
            }
        }

        String latencies() {
            long[] sorted = Arrays.copyOf(latency, count);
            Arrays.sort(sorted);
            return String.format(
                    Locale.ROOT,
                    "%6d %6d %6d us",
                    sorted[count / 2],
                    sorted[count * 99 / 100],
                    sorted[(int) (count * 999L / 1_000)]);
        }
    }

    /** One client, with one message out at a time. */
    private static final class Client extends SimpleChannelInboundHandler<Object> {
        private final Way way;
        private final CountDownLatch ready;
        private Channel channel;
        private Seen seen;
        private long began;
        private final ArrayDeque<Long> late = new ArrayDeque<>();
        private boolean closed;
        private boolean busy;
        private int packet;

        Client(Way way, CountDownLatch ready) {
            this.way = way;
            this.ready = ready;
        }

        void connected() {
            if (way == Way.HTTP) {
                ready.countDown();
                return;
            }
            channel.writeAndFlush(MqttMessageBuilders.connect()
                    .clientId(name())
                    .protocolVersion(MqttVersion.MQTT_5)
                    .cleanSession(true)
                    .keepAlive(600)
                    .build());
        }

        private String name() {
            return "bench-" + way + "-" + System.identityHashCode(this);
        }

        /** Hands one message in; {@code due}: when it should have gone, nanoTime. */
        void send(Seen into, long due, boolean again) {
            if (busy) {
                // Behind its schedule: the latency counts from when it was due.
                late.addLast(due);
                return;
            }
            busy = true;
            seen = into;
            closed = again;
            began = due;
            String id = "b" + ids++;
            if (way == Way.HTTP) {
                var http = new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, "/bill", Unpooled.wrappedBuffer(new byte[BODY]));
                http.headers()
                        .set("Host", "x")
                        .set("X-Request-ID", id)
                        .set("X-Priority-Class", "bill")
                        .set("X-Timeout-Ms", 8_000)
                        .set("X-Envelope", "dest=7")
                        .set("Idempotency-Key", id)
                        .set(HttpHeaderNames.CONTENT_LENGTH, BODY);
                channel.writeAndFlush(http);
            } else {
                packet = packet >= 60_000 ? 1 : packet + 1;
                channel.writeAndFlush(new MqttPublishMessage(
                        new MqttFixedHeader(
                                MqttMessageType.PUBLISH,
                                false,
                                way == Way.MQTT_QOS1 ? MqttQoS.AT_LEAST_ONCE : MqttQoS.EXACTLY_ONCE,
                                false,
                                0),
                        new MqttPublishVariableHeader("bills/bill/7/" + id, packet, MqttProperties.NO_PROPERTIES),
                        Unpooled.wrappedBuffer(new byte[BODY])));
            }
        }

        private void answered(boolean ok) {
            busy = false;
            seen.answered(began, ok);
            if (!late.isEmpty()) {
                send(seen, late.pollFirst(), false);
            } else if (closed && ok) {
                send(seen, System.nanoTime(), true);
            } else if (closed) {
                channel.eventLoop().schedule(() -> send(seen, System.nanoTime(), true), 5, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object in) {
            if (in instanceof FullHttpResponse answer) {
                answered(answer.status().code() == 202);
                return;
            }
            MqttMessage p = (MqttMessage) in;
            switch (p.fixedHeader().messageType()) {
                case CONNACK -> {
                    channel.writeAndFlush(MqttMessageBuilders.subscribe()
                            .messageId(65_000)
                            .addSubscription(MqttQoS.AT_LEAST_ONCE, "answers/" + name())
                            .build());
                    ready.countDown();
                }
                // A final answer.
                case PUBLISH ->
                    channel.writeAndFlush(new MqttMessage(
                            new MqttFixedHeader(MqttMessageType.PUBACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                            MqttMessageIdVariableHeader.from(
                                    ((MqttPublishMessage) p).variableHeader().packetId())));
                case PUBACK -> answered(reason(p) == 0);
                case PUBREC -> {
                    if (reason(p) == 0) {
                        channel.writeAndFlush(new MqttMessage(
                                new MqttFixedHeader(MqttMessageType.PUBREL, false, MqttQoS.AT_LEAST_ONCE, false, 0),
                                MqttMessageIdVariableHeader.from(packet)));
                    }
                    answered(reason(p) == 0);
                }
                default -> {}
            }
        }

        private static int reason(MqttMessage p) {
            return p.variableHeader() instanceof MqttPubReplyMessageVariableHeader head ? head.reasonCode() & 0xff : 0;
        }
    }

    private static List<Client> clients(Relay relay, Way way, int many) throws Exception {
        CountDownLatch ready = new CountDownLatch(many);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            Client client = new Client(way, ready);
            clients.add(client);
            new Bootstrap()
                    .group(GROUP)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            client.channel = c;
                            if (way == Way.HTTP) {
                                c.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(65_536), client);
                            } else {
                                c.pipeline().addLast(new MqttDecoder(65_536), MqttEncoder.INSTANCE, client);
                            }
                        }
                    })
                    .connect(way == Way.HTTP ? relay.http : relay.mqtt)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            client.connected();
                        } else {
                            System.out.println("no connection: " + done.cause());
                        }
                    });
        }
        if (!ready.await(60, TimeUnit.SECONDS)) {
            System.out.println(ready.getCount() + " of " + many + " not connected within 60 s");
        }
        return clients;
    }

    /** Closed loop: each client sends as soon as it is answered. Messages taken on a second. */
    private static double flatOut(Relay relay, Way way, int seconds, boolean tell) throws Exception {
        List<Client> clients = clients(relay, way, CLIENTS);
        Seen seen = new Seen();
        EventLoop loop = clients.get(0).channel.eventLoop();
        double cpu = relay.cpu();
        long began = System.nanoTime();
        loop.execute(() -> clients.forEach(c -> c.send(seen, System.nanoTime(), true)));
        CountDownLatch over = new CountDownLatch(1);
        loop.schedule(over::countDown, seconds, TimeUnit.SECONDS);
        over.await();
        double took = (System.nanoTime() - began) / 1e9;
        double used = relay.cpu() - cpu;
        long taken = seen.taken;
        if (tell) {
            System.out.printf(
                    Locale.ROOT,
                    "%-10s flat out: %7.0f taken/s, %6.0f refused/s, CPU %5.1f us a message%n",
                    way,
                    taken / took,
                    seen.refused / took,
                    used * 1e6 / Math.max(1, taken + seen.refused));
        }
        clients.forEach(c -> c.channel.close().awaitUninterruptibly());
        return taken / took;
    }

    /** Open loop at a rate: each message has its instant, and its latency counts from that. */
    private static void atRate(Relay relay, Way way, double rate) throws Exception {
        List<Client> clients = clients(relay, way, CLIENTS);
        Seen seen = new Seen();
        EventLoop loop = clients.get(0).channel.eventLoop();
        long gap = (long) (1e9 / rate);
        long from = System.nanoTime();
        double cpu = relay.cpu();
        long many = (long) (rate * SECONDS);
        CountDownLatch over = new CountDownLatch(1);
        Runnable[] tick = new Runnable[1];
        long[] sent = new long[1];
        tick[0] = () -> {
            while (sent[0] < many && System.nanoTime() >= from + sent[0] * gap) {
                clients.get((int) (sent[0] % CLIENTS)).send(seen, from + sent[0] * gap, false);
                sent[0]++;
            }
            if (sent[0] < many) {
                loop.schedule(tick[0], 200, TimeUnit.MICROSECONDS);
            } else {
                loop.schedule(over::countDown, 1, TimeUnit.SECONDS);
            }
        };
        loop.execute(tick[0]);
        over.await();
        System.out.printf(
                Locale.ROOT,
                "%-10s at %6.0f/s: %s (50, 99, 99.9 %%), refused %d, CPU %5.1f us a message%n",
                way,
                rate,
                seen.latencies(),
                seen.refused,
                (relay.cpu() - cpu) * 1e6 / many);
        clients.forEach(c -> c.channel.close().awaitUninterruptibly());
    }

    private static void idle(Path folder, int partner, Way way) throws Exception {
        Relay relay = relay(folder, partner);
        flatOut(relay, way, 2, false);
        long heap = relay.heapKb();
        long resident = relay.residentKb();
        long began = System.nanoTime();
        List<Client> clients = clients(relay, way, CONNECTIONS);
        double took = (System.nanoTime() - began) / 1e9;
        long open = clients.stream().filter(c -> c.channel.isActive()).count();
        System.out.printf(
                Locale.ROOT,
                "%-10s %d connections at once: all there after %.2f s, %d open;"
                        + " heap %.0f bytes each, resident %.0f bytes each%n",
                way,
                CONNECTIONS,
                took,
                open,
                (relay.heapKb() - heap) * 1024.0 / CONNECTIONS,
                (relay.residentKb() - resident) * 1024.0 / CONNECTIONS);
        clients.forEach(c -> c.channel.close());
        relay.process.destroy();
        relay.process.waitFor();
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("mqtt-bench");
        int partner = partner();
        System.out.println(
                Runtime.getRuntime().availableProcessors() + " processors, " + CLIENTS + " clients, bodies of " + BODY
                        + " bytes, " + SECONDS + " s a round; relay, clients and partner on one machine");
        Relay relay = relay(Files.createDirectory(folder.resolve("rate")), partner);
        for (Way way : Way.values()) {
            flatOut(relay, way, 4, false);
        }
        double least = Double.MAX_VALUE;
        for (int round = 1; round <= 2; round++) {
            for (Way way : Way.values()) {
                least = Math.min(least, flatOut(relay, way, SECONDS, true));
            }
        }
        for (Way way : Way.values()) {
            atRate(relay, way, least / 2);
        }
        relay.process.destroy();
        relay.process.waitFor();
        idle(Files.createDirectory(folder.resolve("http")), partner, Way.HTTP);
        idle(Files.createDirectory(folder.resolve("mqtt")), partner, Way.MQTT_QOS1);
        System.exit(0);
    }
}
