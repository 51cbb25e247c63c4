package brambletray.relay.mqtt.clients;

import io.netty.handler.codec.mqtt.MqttConnectMessage;
import io.netty.handler.codec.mqtt.MqttConnectReturnCode;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttVersion;

/**
 * What a CONNECT says of what its client can take (MQTT 5.0, section 3.1.2.11).
 *
 * @param five version 5.0; else 3.1.1
 * @param expirySeconds how long the session is to outlast the connection
 * @param receiveMaximum answers out at once
 * @param maximumPacket bytes
 * @param problems whether user properties may tell more of a refusal
 */
record ConnectOptions(
        boolean five, boolean clean, long expirySeconds, int receiveMaximum, int maximumPacket, boolean problems) {
    private static final long FOR_EVER = 0xffffffffL;

    static ConnectOptions of(MqttConnectMessage packet) {
        boolean five = packet.variableHeader().version() == MqttVersion.MQTT_5.protocolLevel();
        boolean clean = packet.variableHeader().isCleanSession();
        MqttProperties told = packet.variableHeader().properties();
        return new ConnectOptions(
                five,
                clean,
                five ? integer(told, MqttPropertyType.SESSION_EXPIRY_INTERVAL, 0) & FOR_EVER : clean ? 0 : FOR_EVER,
                integer(told, MqttPropertyType.RECEIVE_MAXIMUM, 65_535),
                integer(told, MqttPropertyType.MAXIMUM_PACKET_SIZE, Integer.MAX_VALUE),
                integer(told, MqttPropertyType.REQUEST_PROBLEM_INFORMATION, 1) != 0);
    }

    /** Why a CONNECT of a version that is spoken is refused all the same; null for no reason. */
    MqttConnectReturnCode refusal(MqttConnectMessage packet) {
        MqttProperties told = packet.variableHeader().properties();
        if (five && (receiveMaximum == 0 || maximumPacket == 0)) {
            return MqttConnectReturnCode.CONNECTION_REFUSED_PROTOCOL_ERROR;
        }
        if (five && told.getProperty(MqttPropertyType.AUTHENTICATION_METHOD.value()) != null) {
            return MqttConnectReturnCode.CONNECTION_REFUSED_BAD_AUTHENTICATION_METHOD;
        }
        if (five
                && packet.variableHeader().isWillFlag()
                && packet.variableHeader().isWillRetain()) {
            return MqttConnectReturnCode.CONNECTION_REFUSED_RETAIN_NOT_SUPPORTED;
        }
        String client = packet.payload().clientIdentifier();
        if (client != null && !isText(client)) {
            return five
                    ? MqttConnectReturnCode.CONNECTION_REFUSED_MALFORMED_PACKET
                    : MqttConnectReturnCode.CONNECTION_REFUSED_IDENTIFIER_REJECTED;
        }
        return null;
    }

    /**
     * False for a string that is no UTF-8 of MQTT (1.5.4): the decoder leaves a mark where bytes are
     * ill-formed.
     */
    static boolean isText(String text) {
        return text.indexOf('\0') < 0 && text.indexOf('\uFFFD') < 0;
    }

    static int integer(MqttProperties properties, MqttPropertyType type, int absent) {
        return properties.getProperty(type.value()) instanceof MqttProperties.IntegerProperty p ? p.value() : absent;
    }
}
