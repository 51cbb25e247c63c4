package brambletray.relay.mqtt.hosts;

import io.netty.handler.codec.mqtt.MqttVersion;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How a partner's MQTT server is spoken to: the version, and the QoS of every PUBLISH. A host's list entry
 * names it by {@code protocol}.
 */
public record Dialect(String protocol, MqttVersion version, int qos) {
    /** All that a list entry may name, by that name. */
    public static final Map<String, Dialect> ALL = all();

    private static Map<String, Dialect> all() {
        Map<String, Dialect> all = new LinkedHashMap<>();
        for (Dialect dialect : new Dialect[] {
            new Dialect("mqtt", MqttVersion.MQTT_5, 1),
            new Dialect("mqtt-qos2", MqttVersion.MQTT_5, 2),
            new Dialect("mqtt-3.1.1", MqttVersion.MQTT_3_1_1, 1),
            new Dialect("mqtt-3.1.1-qos2", MqttVersion.MQTT_3_1_1, 2)
        }) {
            all.put(dialect.protocol, dialect);
        }
        return Map.copyOf(all);
    }

    boolean five() {
        return version == MqttVersion.MQTT_5;
    }

    /** True when the session outlives the connection, so that what was out can be taken up again. */
    boolean keepsSession() {
        return qos == 2;
    }
}
