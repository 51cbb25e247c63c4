package brambletray.relay.partners;

import brambletray.relay.emulator.Answer;
import brambletray.relay.partners.PartnerFront.Door;
import brambletray.relay.partners.PartnerFront.Line;
import brambletray.relay.partners.PartnerFront.NetCall;
import io.netty.channel.Channel;
import io.netty.handler.codec.mqtt.MqttMessageType;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What an emulated MQTT server keeps of one client over its connections: the packet ids of QoS 2 that it
 * works on, and those that it has taken and whose PUBREL is still to come (MQTT 5.0, 4.3.3). It acts before
 * PUBREC, once for each id.
 */
final class MqttSession implements Line {
    private final Door door;
    private final Map<Integer, NetCall> underWay = new LinkedHashMap<>();
    private final Map<Integer, NetCall> received = new LinkedHashMap<>();
    /** Null while the client is away. */
    private MqttPartner connection;

    MqttSession(Door door) {
        this.door = door;
    }

    @Override
    public Channel channel() {
        return connection == null ? null : connection.channel();
    }

    void connected(MqttPartner by) {
        connection = by;
        underWay.values().forEach(door::attach);
    }

    void disconnected(MqttPartner by) {
        if (connection == by) {
            connection = null;
            underWay.values().forEach(door::detach);
        }
    }

    /** Another connection of the client has come. */
    void takenOver() {
        MqttPartner old = connection;
        if (old != null) {
            disconnected(old);
            old.channel().close();
        }
    }

    /** True, and it is answered if it can be, for an id that came before. */
    boolean knows(int packet) {
        NetCall taken = received.get(packet);
        if (taken != null) {
            door.heard(taken);
            connection.reply(MqttMessageType.PUBREC, packet, 0, 0);
        }
        return taken != null || underWay.containsKey(packet);
    }

    void began(int packet, NetCall call) {
        underWay.put(packet, call);
    }

    /** A PUBREL; false for an id that is not held. */
    boolean released(int packet) {
        return received.remove(packet) != null;
    }

    @Override
    public void answer(NetCall call, Answer answer) {
        int packet = underWay.entrySet().stream()
                .filter(e -> e.getValue() == call)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0);
        if (packet == 0) {
            return;
        }
        underWay.remove(packet);
        boolean ran = answer instanceof Answer.Delivered
                || answer instanceof Answer.Spoilt
                || answer instanceof Answer.Reset reset && reset.ran();
        if (ran) {
            received.put(packet, call);
        }
        if (connection != null) {
            connection.answer(call, packet, answer, MqttMessageType.PUBREC);
        } else {
            door.ended(call);
        }
    }
}
