package brambletray.relay.partners;

import brambletray.relay.emulator.Answer;
import brambletray.relay.partners.PartnerFront.Door;
import brambletray.relay.partners.PartnerFront.Line;
import brambletray.relay.partners.PartnerFront.NetCall;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
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
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttVersion;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One connection to an emulated endpoint that is an MQTT server, 3.1.1 or 5.0: a PUBLISH is a call. By QoS 1
 * it ends with the connection; by QoS 2 it belongs to the client's session.
 */
final class MqttPartner extends SimpleChannelInboundHandler<MqttMessage> implements Line {
    private static final int PACKET_MOST = 256 * 1024;
    private static final int RECEIVE_MAXIMUM = 64;
    static final int QUOTA_EXCEEDED = 0x97;
    static final int UNSPECIFIED = 0x80;
    static final int ID_NOT_FOUND = 0x92;

    private final Door door;
    private final Map<NetCall, Integer> calls = new LinkedHashMap<>();
    /** Calls that were answered lately: their answers may not have been read when the connection ends. */
    private final ArrayDeque<NetCall> answered = new ArrayDeque<>();

    private Channel channel;
    private MqttSession session;
    private boolean admitted;
    private boolean five;
    private boolean fresh = true;

    private MqttPartner(Door door) {
        this.door = door;
    }

    static void setUp(Channel channel, Door door) {
        channel.pipeline().addLast(new MqttDecoder(PACKET_MOST), MqttEncoder.INSTANCE, new MqttPartner(door));
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        admitted = door.enter(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MqttMessage packet) {
        if (packet.decoderResult().isFailure()) {
            context.close();
            return;
        }
        switch (packet.fixedHeader().messageType()) {
            case CONNECT -> connect((MqttConnectMessage) packet);
            case PUBLISH -> publish((MqttPublishMessage) packet);
            case PUBREL -> {
                int id = ((MqttMessageIdVariableHeader) packet.variableHeader()).messageId();
                boolean known = session != null && session.released(id);
                reply(MqttMessageType.PUBCOMP, id, known ? 0 : ID_NOT_FOUND, 0);
            }
            case PINGREQ ->
                context.writeAndFlush(new MqttMessage(
                        new MqttFixedHeader(MqttMessageType.PINGRESP, false, MqttQoS.AT_MOST_ONCE, false, 0)));
            case DISCONNECT -> context.close();
            default -> {}
        }
    }

    private void connect(MqttConnectMessage packet) {
        five = packet.variableHeader().version() == MqttVersion.MQTT_5.protocolLevel();
        boolean clean = packet.variableHeader().isCleanSession();
        boolean kept = five
                ? packet.variableHeader().properties().getProperty(MqttPropertyType.SESSION_EXPIRY_INTERVAL.value())
                        != null
                : !clean;
        Map<String, MqttSession> sessions = door.sessions();
        String client = packet.payload().clientIdentifier();
        MqttSession old = clean ? sessions.remove(client) : sessions.get(client);
        if (old != null) {
            old.takenOver();
        }
        boolean present = old != null && !clean;
        if (kept) {
            session = present ? old : new MqttSession(door);
            sessions.put(client, session);
            session.connected(this);
        }
        MqttProperties properties = new MqttProperties();
        if (five) {
            properties.add(
                    new MqttProperties.IntegerProperty(MqttPropertyType.RECEIVE_MAXIMUM.value(), RECEIVE_MAXIMUM));
        }
        channel.writeAndFlush(new MqttConnAckMessage(
                new MqttFixedHeader(MqttMessageType.CONNACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                new MqttConnAckVariableHeader(MqttConnectReturnCode.CONNECTION_ACCEPTED, present, properties)));
    }

    private void publish(MqttPublishMessage publish) {
        String id = null;
        String key = null;
        if (five) {
            for (var property :
                    publish.variableHeader().properties().getProperties(MqttPropertyType.USER_PROPERTY.value())) {
                MqttProperties.StringPair pair = (MqttProperties.StringPair) property.value();
                id = pair.key.equals("id") ? pair.value : id;
                key = pair.key.equals("key") ? pair.value : key;
            }
        } else {
            String[] levels = publish.variableHeader().topicName().split("/");
            id = levels.length > 3 ? URLDecoder.decode(levels[3], StandardCharsets.UTF_8) : null;
            key = levels.length > 4 ? URLDecoder.decode(levels[4], StandardCharsets.UTF_8) : null;
        }
        boolean twice = publish.fixedHeader().qosLevel() == MqttQoS.EXACTLY_ONCE;
        if (id == null || twice && session == null) {
            channel.close();
            return;
        }
        int packet = publish.variableHeader().packetId();
        if (twice && session.knows(packet)) {
            return;
        }
        String caller =
                ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
        NetCall call = new NetCall(twice ? session : this, caller, id, key, fresh);
        fresh = false;
        if (twice) {
            session.began(packet, call);
        } else {
            calls.put(call, packet);
        }
        door.arrive(call);
    }

    @Override
    public void answer(NetCall call, Answer answer) {
        Integer packet = calls.remove(call);
        if (packet != null) {
            answer(call, packet, answer, MqttMessageType.PUBACK);
        }
    }

    /** Answers a call of this connection, or of its session while this is its connection. */
    void answer(NetCall call, int packet, Answer answer, MqttMessageType type) {
        answered.addLast(call);
        if (answered.size() > RECEIVE_MAXIMUM) {
            answered.pollFirst();
        }
        if (answer instanceof Answer.Delivered) {
            reply(type, packet, 0, 0);
        } else if (answer instanceof Answer.Refused refused && five) {
            reply(type, packet, QUOTA_EXCEEDED, refused.told());
        } else if (answer instanceof Answer.Failed && five) {
            reply(type, packet, UNSPECIFIED, 0);
        } else {
            // Reset, or bytes that are no packet, or a refusal that 3.1.1 has no word for.
            reset();
        }
    }

    void reply(MqttMessageType type, int packet, int reason, long told) {
        MqttProperties properties = new MqttProperties();
        if (told > 0) {
            properties.add(
                    new MqttProperties.UserProperty("retry-after-ms", String.valueOf((told + 999_999) / 1_000_000)));
        }
        channel.writeAndFlush(new MqttMessage(
                new MqttFixedHeader(type, false, MqttQoS.AT_MOST_ONCE, false, 0),
                five
                        ? new MqttPubReplyMessageVariableHeader(packet, (byte) reason, properties)
                        : MqttMessageIdVariableHeader.from(packet)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (admitted) {
            door.leave(this);
        }
        if (session != null) {
            session.disconnected(this);
        }
        List<NetCall> gone = List.copyOf(calls.keySet());
        calls.clear();
        gone.forEach(door::abandon);
        answered.forEach(door::ended);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
