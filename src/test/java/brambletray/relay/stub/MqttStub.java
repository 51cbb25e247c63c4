package brambletray.relay.stub;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttPublishVariableHeader;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttVersion;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An MQTT client whose every packet the test sends and awaits itself. */
public final class MqttStub implements AutoCloseable {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Object> arrived = new LinkedBlockingQueue<>();
    private static final Object CLOSED = "closed";
    public final Channel channel;
    private final MqttVersion version;

    public MqttStub(InetSocketAddress to, MqttVersion version) throws InterruptedException {
        this(to, version, 64 * 1024);
    }

    /** {@code room}: bytes that the system takes in for it while it does not read. */
    public MqttStub(InetSocketAddress to, MqttVersion version, int room) throws InterruptedException {
        this.version = version;
        channel = new Bootstrap()
                .group(GROUP)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.SO_RCVBUF, room)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new MqttDecoder(1 << 20),
                                        MqttEncoder.INSTANCE,
                                        new SimpleChannelInboundHandler<MqttMessage>() {
                                            @Override
                                            protected void channelRead0(
                                                    ChannelHandlerContext context, MqttMessage packet) {
                                                arrived.add(ReferenceCountUtil.retain(packet));
                                            }

                                            @Override
                                            public void channelInactive(ChannelHandlerContext context) {
                                                arrived.add(CLOSED);
                                            }

                                            @Override
                                            public void exceptionCaught(
                                                    ChannelHandlerContext context, Throwable cause) {
                                                context.close();
                                            }
                                        });
                    }
                })
                .connect(to)
                .sync()
                .channel();
        // The codec learns the version from a CONNECT that it writes itself; raw bytes do not pass it.
        channel.attr(AttributeKey.<MqttVersion>valueOf("NETTY_CODEC_MQTT_VERSION"))
                .set(version);
    }

    /** The next packet, which must be of this type. */
    public MqttMessage expect(MqttMessageType type) throws InterruptedException {
        Object next = arrived.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
        if (!(next instanceof MqttMessage packet)
                || packet.decoderResult().isFailure()
                || packet.fixedHeader().messageType() != type) {
            throw new AssertionError("expected " + type + ", came " + next);
        }
        return packet;
    }

    /** True once the connection has been closed, whatever came before. */
    public boolean closed() throws InterruptedException {
        for (Object next = arrived.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
                next != null;
                next = arrived.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS)) {
            if (next == CLOSED) {
                return true;
            }
        }
        return false;
    }

    public boolean quiet() {
        return arrived.isEmpty();
    }

    /** A CONNECT with these properties, and a will after so many seconds if its topic is not null. */
    public MqttStub connect(
            String id,
            boolean clean,
            MqttProperties properties,
            String willTopic,
            int willDelay,
            boolean willRetained) {
        MqttMessageBuilders.ConnectBuilder connect = MqttMessageBuilders.connect()
                .clientId(id)
                .protocolVersion(version)
                .cleanSession(clean)
                .properties(properties)
                .keepAlive(60);
        if (willTopic != null) {
            MqttProperties will = new MqttProperties();
            will.add(new MqttProperties.IntegerProperty(MqttPropertyType.WILL_DELAY_INTERVAL.value(), willDelay));
            connect.willFlag(true)
                    .willTopic(willTopic)
                    .willMessage("gone".getBytes(StandardCharsets.UTF_8))
                    .willQoS(MqttQoS.AT_LEAST_ONCE)
                    .willRetain(willRetained)
                    .willProperties(will);
        }
        channel.writeAndFlush(connect.build());
        return this;
    }

    public MqttStub connect(String id, boolean clean, long expirySeconds) throws InterruptedException {
        MqttProperties properties = new MqttProperties();
        if (expirySeconds > 0) {
            properties.add(new MqttProperties.IntegerProperty(
                    MqttPropertyType.SESSION_EXPIRY_INTERVAL.value(), (int) expirySeconds));
        }
        channel.writeAndFlush(MqttMessageBuilders.connect()
                .clientId(id)
                .protocolVersion(version)
                .cleanSession(clean)
                .properties(version == MqttVersion.MQTT_5 ? properties : MqttProperties.NO_PROPERTIES)
                .keepAlive(60)
                .build());
        return this;
    }

    public void subscribe(String filter) throws InterruptedException {
        subscribe(filter, MqttQoS.AT_LEAST_ONCE);
    }

    public void subscribe(String filter, MqttQoS qos) throws InterruptedException {
        channel.writeAndFlush(MqttMessageBuilders.subscribe()
                .messageId(99)
                .addSubscription(qos, filter)
                .build());
        expect(MqttMessageType.SUBACK);
    }

    public static MqttProperties properties(String responseTopic, String correlation, String... pairs) {
        MqttProperties properties = new MqttProperties();
        if (responseTopic != null) {
            properties.add(new MqttProperties.StringProperty(MqttPropertyType.RESPONSE_TOPIC.value(), responseTopic));
        }
        if (correlation != null) {
            properties.add(new MqttProperties.BinaryProperty(
                    MqttPropertyType.CORRELATION_DATA.value(), correlation.getBytes(StandardCharsets.UTF_8)));
        }
        for (int i = 0; i < pairs.length; i += 2) {
            properties.add(new MqttProperties.UserProperty(pairs[i], pairs[i + 1]));
        }
        return properties;
    }

    public void publish(String topic, int packet, int qos, boolean dup, MqttProperties properties, String text) {
        channel.writeAndFlush(new MqttPublishMessage(
                new MqttFixedHeader(MqttMessageType.PUBLISH, dup, MqttQoS.valueOf(qos), false, 0),
                new MqttPublishVariableHeader(topic, packet, properties),
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    public void reply(MqttMessageType type, int packet) {
        channel.writeAndFlush(new MqttMessage(
                new MqttFixedHeader(
                        type,
                        false,
                        type == MqttMessageType.PUBREL ? MqttQoS.AT_LEAST_ONCE : MqttQoS.AT_MOST_ONCE,
                        false,
                        0),
                MqttMessageIdVariableHeader.from(packet)));
    }

    public void raw(byte[] bytes) {
        channel.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    /** The text of the next answer that is published to it, acknowledged. */
    public String answer() throws InterruptedException {
        MqttPublishMessage packet = (MqttPublishMessage) expect(MqttMessageType.PUBLISH);
        String text = packet.payload().toString(StandardCharsets.UTF_8);
        reply(MqttMessageType.PUBACK, packet.variableHeader().packetId());
        packet.release();
        return packet.variableHeader().topicName() + " " + text;
    }

    /** Resets the connection. */
    public void reset() throws InterruptedException {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close().sync();
    }

    @Override
    public void close() throws InterruptedException {
        channel.close().sync();
    }
}
