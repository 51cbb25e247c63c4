package brambletray.relay.mqtt.clients;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.mqtt.MqttFixedHeader;
import io.netty.handler.codec.mqtt.MqttMessage;
import io.netty.handler.codec.mqtt.MqttMessageType;
import io.netty.handler.codec.mqtt.MqttProperties;
import io.netty.handler.codec.mqtt.MqttProperties.MqttPropertyType;
import io.netty.handler.codec.mqtt.MqttPublishMessage;
import io.netty.handler.codec.mqtt.MqttPublishVariableHeader;
import io.netty.handler.codec.mqtt.MqttQoS;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Final answers on their way to one connected client, as many at once as it takes (MQTT 5.0, 3.3.4, 4.4,
 * 4.9). An answer that was out when a connection ended goes first on the next one, with its packet id and
 * DUP.
 */
final class OutboundAnswers {
    /** Bytes of an answer's PUBLISH round topic, correlation data and payload, at most. */
    private static final int HEAD_MOST = 32;

    private final Session session;
    private final Sessions sessions;
    private final ConnectOptions options;
    private final Consumer<MqttMessage> write;
    /** Packet ids that this connection has sent. */
    private final Set<Integer> onWire = new HashSet<>();

    OutboundAnswers(Session session, Sessions sessions, ConnectOptions options, Consumer<MqttMessage> write) {
        this.session = session;
        this.sessions = sessions;
        this.options = options;
        this.write = write;
    }

    /** Sends the answers that wait, on topics that the client is subscribed to. */
    void send() {
        for (Iterator<Map.Entry<Integer, Long>> it = session.out.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<Integer, Long> entry = it.next();
            Session.Answer answer = session.answers.get(entry.getValue());
            if (answer == null) {
                it.remove();
            } else if (!onWire.contains(entry.getKey()) && onWire.size() < options.receiveMaximum()) {
                onWire.add(entry.getKey());
                publish(answer, entry.getKey(), true);
            }
        }
        if (session.filters.isEmpty()) {
            return;
        }
        for (Session.Answer answer : List.copyOf(session.answers.values())) {
            if (onWire.size() >= options.receiveMaximum()) {
                return;
            }
            int qos = granted(answer.topic());
            if (qos < 0 || session.out.containsValue(answer.number())) {
                continue;
            }
            int size = answer.topic().length()
                    + answer.correlation().length
                    + answer.payload().length();
            if (3 * size + HEAD_MOST > options.maximumPacket() && !fits(answer)) {
                // Section 3.1.2.11.4: what the client can't take counts as sent.
                sessions.answered(session, answer.number());
            } else if (qos == 0) {
                publish(answer, 0, false);
                sessions.answered(session, answer.number());
            } else {
                int packet = session.nextPacket();
                session.out.put(packet, answer.number());
                onWire.add(packet);
                publish(answer, packet, answer.number() < session.perhapsSentBelow);
            }
        }
    }

    private boolean fits(Session.Answer answer) {
        return answer.topic().getBytes(StandardCharsets.UTF_8).length
                        + answer.correlation().length
                        + answer.payload().getBytes(StandardCharsets.UTF_8).length
                        + HEAD_MOST
                <= options.maximumPacket();
    }

    /** The best QoS at which the client is subscribed to a topic; -1 for not at all (3.8.4). */
    private int granted(String topic) {
        return session.filters.entrySet().stream()
                .filter(f -> TopicScheme.covers(f.getKey(), topic))
                .mapToInt(Map.Entry::getValue)
                .max()
                .orElse(-1);
    }

    private void publish(Session.Answer answer, int packet, boolean again) {
        MqttProperties properties = new MqttProperties();
        if (options.five() && answer.correlation().length > 0) {
            properties.add(
                    new MqttProperties.BinaryProperty(MqttPropertyType.CORRELATION_DATA.value(), answer.correlation()));
        }
        write.accept(new MqttPublishMessage(
                new MqttFixedHeader(
                        MqttMessageType.PUBLISH,
                        again,
                        packet == 0 ? MqttQoS.AT_MOST_ONCE : MqttQoS.AT_LEAST_ONCE,
                        false,
                        0),
                new MqttPublishVariableHeader(answer.topic(), packet, properties),
                Unpooled.copiedBuffer(answer.payload(), StandardCharsets.UTF_8)));
    }

    /** The client has an answer. */
    void acknowledged(int packet) {
        onWire.remove(packet);
        Long number = session.out.remove(packet);
        if (number != null) {
            sessions.answered(session, number);
            send();
        }
    }
}
