package brambletray.relay.stub;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttConnAckVariableHeader;
import io.netty.handler.codec.mqtt.MqttConnectMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttDecoder;
import io.netty.handler.codec.mqtt.MqttEncoder;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttReasonCodeAndPropertiesVariableHeader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A partner's MQTT 5 server whose acknowledgements the test gives one by one. */
public final class MqttHostStub implements AutoCloseable {
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** One PUBLISH as it came. */
    public record Publish(
            Channel channel, int packet, String topic, String id, String key, String body, boolean again) {
        /** Acknowledges it; {@code retryAfterMs} null for no advice. */
        public void ack(int reason, String retryAfterMs) {
            reply(MqttMessageType.PUBACK, reason, retryAfterMs);
        }

        /** The first half of QoS 2. */
        public void received(int reason) {
            reply(MqttMessageType.PUBREC, reason, null);
        }

        /** The end of QoS 2. */
        public void completed() {
            reply(MqttMessageType.PUBCOMP, 0, null);
        }

        private void reply(MqttMessageType type, int reason, String retryAfterMs) {
            MqttProperties properties = new MqttProperties();
            if (retryAfterMs != null) {
                properties.add(new MqttProperties.UserProperty("retry-after-ms", retryAfterMs));
            }
            channel.writeAndFlush(new MqttMessage(
                    new MqttFixedHeader(type, false, MqttQoS.AT_MOST_ONCE, false, 0),
                    new MqttPubReplyMessageVariableHeader(packet, (byte) reason, properties)));
        }

        public void reset() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }

        public void disconnect(int reason) {
            disconnect(reason, null);
        }

        public void disconnect(int reason, String retryAfterMs) {
            MqttProperties properties = new MqttProperties();
            if (retryAfterMs != null) {
                properties.add(new MqttProperties.UserProperty("retry-after-ms", retryAfterMs));
            }
            channel.writeAndFlush(new MqttMessage(
                    new MqttFixedHeader(MqttMessageType.DISCONNECT, false, MqttQoS.AT_MOST_ONCE, false, 0),
                    new MqttReasonCodeAndPropertiesVariableHeader((byte) reason, properties)));
        }
    }

    /** A CONNECT as it came. */
    public record Connect(Channel channel, String client, int version, boolean anew) {}

    private final BlockingQueue<Publish> publishes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Connect> connects = new LinkedBlockingQueue<>();
    private final BlockingQueue<Integer> releases = new LinkedBlockingQueue<>();
    /** Said in the next CONNACK to a client that asks for its old session. */
    public volatile boolean sessionPresent;
    /** Whether it answers pings. */
    public volatile boolean pongs = true;

    private final Channel listener;

    public MqttHostStub(int receiveMaximum) throws InterruptedException {
        listener = new ServerBootstrap()
                .group(GROUP)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(new MqttDecoder(1 << 20), MqttEncoder.INSTANCE, new Packets(receiveMaximum));
                    }
                })
                .bind(PlatformStub.LOOPBACK, 0)
                .sync()
                .channel();
    }

    private final class Packets extends SimpleChannelInboundHandler<MqttMessage> {
        private final int receiveMaximum;

        Packets(int receiveMaximum) {
            this.receiveMaximum = receiveMaximum;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MqttMessage packet) {
            if (packet instanceof MqttConnectMessage connect) {
                boolean anew = connect.variableHeader().isCleanSession();
                connects.add(new Connect(
                        context.channel(),
                        connect.payload().clientIdentifier(),
                        connect.variableHeader().version(),
                        anew));
                MqttProperties properties = new MqttProperties();
                properties.add(new MqttProperties.IntegerProperty(
                        MqttProperties.MqttPropertyType.RECEIVE_MAXIMUM.value(), receiveMaximum));
                context.writeAndFlush(new MqttConnAckMessage(
                        new MqttFixedHeader(MqttMessageType.CONNACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                        new MqttConnAckVariableHeader(
                                MqttConnectReturnCode.CONNECTION_ACCEPTED, sessionPresent && !anew, properties)));
            } else if (packet instanceof MqttPublishMessage p) {
                String[] told = new String[2];
                for (var property : p.variableHeader().properties().getProperties(38)) {
                    MqttProperties.StringPair pair = (MqttProperties.StringPair) property.value();
                    told[0] = pair.key.equals("id") ? pair.value : told[0];
                    told[1] = pair.key.equals("key") ? pair.value : told[1];
                }
                publishes.add(new Publish(
                        context.channel(),
                        p.variableHeader().packetId(),
                        p.variableHeader().topicName(),
                        told[0],
                        told[1],
                        p.payload().toString(StandardCharsets.UTF_8),
                        p.fixedHeader().isDup()));
            } else if (packet.fixedHeader().messageType() == MqttMessageType.PUBREL) {
                releases.add(((MqttMessageIdVariableHeader) packet.variableHeader()).messageId());
            } else if (packet.fixedHeader().messageType() == MqttMessageType.PINGREQ && pongs) {
                context.writeAndFlush(new MqttMessage(
                        new MqttFixedHeader(MqttMessageType.PINGRESP, false, MqttQoS.AT_MOST_ONCE, false, 0)));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    public int port() {
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    public Publish publish() throws InterruptedException {
        return publishes.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
    }

    public Connect connect() throws InterruptedException {
        return connects.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
    }

    /** The packet id of the next PUBREL. */
    public Integer release() throws InterruptedException {
        return releases.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
    }

    public boolean quiet() {
        return publishes.isEmpty();
    }

    @Override
    public void close() throws InterruptedException {
        listener.close().sync();
    }
}
