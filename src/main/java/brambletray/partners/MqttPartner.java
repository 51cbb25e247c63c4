package brambletray.partners;

import brambletray.emulator.Answer;
import brambletray.partners.PartnerFront.Door;
import brambletray.partners.PartnerFront.Line;
import brambletray.partners.PartnerFront.NetCall;
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
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttQoS;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One connection to an emulated endpoint that is an MQTT 5 server: a PUBLISH of QoS 1 is a call. */
final class MqttPartner extends SimpleChannelInboundHandler<MqttMessage> implements Line {
    private static final int PACKET_MOST = 256 * 1024, RECEIVE_MAXIMUM = 64;
    private static final int QUOTA_EXCEEDED = 0x97, UNSPECIFIED = 0x80;

    private final Door door;
    private final Map<NetCall, Integer> calls = new LinkedHashMap<>();
    /** Calls that were answered lately: their answers may not have been read when the connection ends. */
    private final ArrayDeque<NetCall> answered = new ArrayDeque<>();
    private Channel channel;
    private boolean admitted;
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
        } else if (packet instanceof MqttConnectMessage) {
            MqttProperties properties = new MqttProperties();
            properties.add(new MqttProperties.IntegerProperty(MqttPropertyType.RECEIVE_MAXIMUM.value(),
                RECEIVE_MAXIMUM));
            context.writeAndFlush(new MqttConnAckMessage(
                new MqttFixedHeader(MqttMessageType.CONNACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
                new MqttConnAckVariableHeader(MqttConnectReturnCode.CONNECTION_ACCEPTED, false, properties)));
        } else if (packet instanceof MqttPublishMessage publish) {
            publish(publish);
        } else if (packet.fixedHeader().messageType() == MqttMessageType.PINGREQ) {
            context.writeAndFlush(new MqttMessage(new MqttFixedHeader(MqttMessageType.PINGRESP, false,
                MqttQoS.AT_MOST_ONCE, false, 0)));
        }
    }

    private void publish(MqttPublishMessage publish) {
        String id = null;
        String key = null;
        for (var property : publish.variableHeader().properties()
                .getProperties(MqttPropertyType.USER_PROPERTY.value())) {
            MqttProperties.StringPair pair = (MqttProperties.StringPair) property.value();
            id = pair.key.equals("id") ? pair.value : id;
            key = pair.key.equals("key") ? pair.value : key;
        }
        if (id == null) {
            channel.close();
            return;
        }
        String caller = ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
        NetCall call = new NetCall(this, caller, id, key, fresh);
        fresh = false;
        calls.put(call, publish.variableHeader().packetId());
        door.arrive(call);
    }

    @Override
    public void answer(NetCall call, Answer answer) {
        Integer packet = calls.remove(call);
        if (packet == null) {
            return;
        }
        answered.addLast(call);
        if (answered.size() > RECEIVE_MAXIMUM) {
            answered.pollFirst();
        }
        if (answer instanceof Answer.Delivered) {
            acknowledge(packet, 0, 0);
        } else if (answer instanceof Answer.Refused refused) {
            acknowledge(packet, QUOTA_EXCEEDED, refused.told());
        } else if (answer instanceof Answer.Failed) {
            acknowledge(packet, UNSPECIFIED, 0);
        } else {
            // Reset, or bytes that are no packet: either way the connection is of no further use.
            reset();
        }
    }

    private void acknowledge(int packet, int reason, long told) {
        MqttProperties properties = new MqttProperties();
        if (told > 0) {
            properties.add(new MqttProperties.UserProperty("retry-after-ms",
                String.valueOf((told + 999_999) / 1_000_000)));
        }
        channel.writeAndFlush(new MqttMessage(
            new MqttFixedHeader(MqttMessageType.PUBACK, false, MqttQoS.AT_MOST_ONCE, false, 0),
            new MqttPubReplyMessageVariableHeader(packet, (byte) reason, properties)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (admitted) {
            door.leave(this);
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
