package brambletray.relay.mqtt.hosts;

import brambletray.relay.message.Message;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.mqtt.MqttConnAckMessage;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageBuilders;
import io.netty.handler.codec.mqtt.MqttMessageIdVariableHeader;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPubReplyMessageVariableHeader;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttPublishVariableHeader;
import io.netty.handler.codec.mqtt.MqttQoS;
import io.netty.handler.codec.mqtt.MqttReasonCodeAndPropertiesVariableHeader;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** The packets that go to a partner, and what the relay reads out of those that come. */
final class PartnerPackets {
    static final int KEEP_ALIVE_S = 30;
    /** How long a partner is asked to keep a session after a break; s. */
    static final int SESSION_EXPIRY_S = 60;
    /** A told wait is believed up to this; ms. */
    private static final long WAIT_MOST = 3_600_000;

    private static final String TOPIC = "v1/messages/";

    private final Dialect dialect;
    private final String client;

    /** {@code client}: the relay's client id at partners. */
    PartnerPackets(Dialect dialect, String client) {
        this.dialect = dialect;
        this.client = client;
    }

    /** {@code anew}: the partner is to forget any session of this client. */
    MqttMessage connect(boolean anew) {
        MqttMessageBuilders.ConnectBuilder connect = MqttMessageBuilders.connect()
                .protocolVersion(dialect.version())
                .clientId(client)
                .cleanSession(anew)
                .keepAlive(KEEP_ALIVE_S);
        if (dialect.five() && dialect.keepsSession()) {
            MqttProperties properties = new MqttProperties();
            properties.add(new MqttProperties.IntegerProperty(
                    MqttPropertyType.SESSION_EXPIRY_INTERVAL.value(), SESSION_EXPIRY_S));
            connect.properties(properties);
        }
        return connect.build();
    }

    /**
     * One call as a PUBLISH. MQTT 5: id, key and time left (ms) as user properties. 3.1.1 has none: id and
     * key follow the destination as topic levels, percent-encoded, for an id may hold what a level may not.
     */
    MqttMessage publish(Message message, byte[] body, int packet, boolean again, long leftMs) {
        StringBuilder topic = new StringBuilder(TOPIC).append(message.destination());
        MqttProperties properties = new MqttProperties();
        String key = message.idempotencyKey();
        if (dialect.five()) {
            properties.add(new MqttProperties.UserProperty("id", message.id()));
            if (key != null) {
                properties.add(new MqttProperties.UserProperty("key", key));
            }
            properties.add(new MqttProperties.UserProperty("timeout-ms", String.valueOf(Math.max(1, leftMs))));
        } else {
            topic.append('/').append(level(message.id()));
            if (key != null) {
                topic.append('/').append(level(key));
            }
        }
        return new MqttPublishMessage(
                new MqttFixedHeader(MqttMessageType.PUBLISH, again, MqttQoS.valueOf(dialect.qos()), false, 0),
                new MqttPublishVariableHeader(topic.toString(), packet, properties),
                Unpooled.wrappedBuffer(body));
    }

    private static String level(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    MqttMessage release(int packet, boolean known) {
        MqttFixedHeader head = new MqttFixedHeader(MqttMessageType.PUBREL, false, MqttQoS.AT_LEAST_ONCE, false, 0);
        return new MqttMessage(
                head,
                known || !dialect.five()
                        ? MqttMessageIdVariableHeader.from(packet)
                        : new MqttPubReplyMessageVariableHeader(
                                packet, (byte) MqttOutcomes.ID_NOT_FOUND, MqttProperties.NO_PROPERTIES));
    }

    static MqttMessage ping() {
        return new MqttMessage(new MqttFixedHeader(MqttMessageType.PINGREQ, false, MqttQoS.AT_MOST_ONCE, false, 0));
    }

    static MqttMessage disconnect() {
        return new MqttMessage(new MqttFixedHeader(MqttMessageType.DISCONNECT, false, MqttQoS.AT_MOST_ONCE, false, 0));
    }

    /** The reason of a PUBACK, PUBREC or PUBCOMP; 0 where none is told. */
    static int reason(MqttMessage reply) {
        return reply.variableHeader() instanceof MqttPubReplyMessageVariableHeader head ? head.reasonCode() & 0xff : 0;
    }

    static int packet(MqttMessage reply) {
        return ((MqttMessageIdVariableHeader) reply.variableHeader()).messageId();
    }

    /** The reason of a DISCONNECT; 0 where none is told. */
    static int disconnected(MqttMessage disconnect) {
        return disconnect.variableHeader() instanceof MqttReasonCodeAndPropertiesVariableHeader head
                ? head.reasonCode() & 0xff
                : 0;
    }

    static MqttProperties properties(MqttMessage packet) {
        if (packet instanceof MqttConnAckMessage ack) {
            return ack.variableHeader().properties();
        }
        if (packet.variableHeader() instanceof MqttPubReplyMessageVariableHeader head) {
            return head.properties();
        }
        return packet.variableHeader() instanceof MqttReasonCodeAndPropertiesVariableHeader head
                ? head.properties()
                : MqttProperties.NO_PROPERTIES;
    }

    /** A property that is a whole number; {@code none} where it is not told. */
    static int number(MqttProperties properties, MqttPropertyType type, int none) {
        return properties.getProperty(type.value()) instanceof MqttProperties.IntegerProperty p ? p.value() : none;
    }

    /** A told wait in us, from the user property {@code retry-after-ms}; 0 for none. */
    static long toldWait(MqttProperties properties) {
        for (var property : properties.getProperties(MqttPropertyType.USER_PROPERTY.value())) {
            if (property.value() instanceof MqttProperties.StringPair pair && pair.key.equals("retry-after-ms")) {
                try {
                    long ms = Long.parseLong(pair.value);
                    return ms > 0 && ms <= WAIT_MOST ? ms * 1_000 : 0;
                } catch (NumberFormatException e) {
                    return 0;
                }
            }
        }
        return 0;
    }
}
