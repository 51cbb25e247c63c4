package brambletray.relay.mqtt.clients;

import brambletray.relay.store.Chain;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** What is kept of one client while its session lives, connected or not. */
final class Session {
    /** A final answer that its client has not acknowledged. */
    record Answer(long number, String topic, byte[] correlation, String payload) {}

    final String client;
    final long key;
    /** QoS 2 packet ids that were received and not released (MQTT 5.0, section 4.3.3). */
    final Set<Integer> received = new LinkedHashSet<>();

    final Map<Long, Answer> answers = new LinkedHashMap<>();
    /** Packet ids of answers that are out, on this connection or on one that has ended. */
    final Map<Integer, Long> out = new LinkedHashMap<>();
    /** Filters of its subscriptions, and the QoS of each. */
    final Map<String, Integer> filters = new LinkedHashMap<>();

    long expiryMs;
    /** When its client left, Unix time, ms; 0 while it is connected. */
    long leftAt;

    long nextAnswer = 1;
    /** Answers below this number may have been sent by a process that has ended. */
    long perhapsSentBelow;

    private int lastPacket;
    /** Handed in unless the client is back by then; null for none (MQTT 5.0, 3.1.3.2.2). */
    Future<?> delayedWill;

    MqttClient connected;
    Chain chain;
    int notes;

    Session(String client, long key) {
        this.client = client;
        this.key = key;
    }

    /** What a snapshot of it takes, in notes. */
    int size() {
        return answers.size() + received.size() + filters.size();
    }

    int nextPacket() {
        do {
            lastPacket = lastPacket >= 65_535 ? 1 : lastPacket + 1;
        } while (out.containsKey(lastPacket));
        return lastPacket;
    }

    boolean expired(long now) {
        return connected == null && expiryMs != Long.MAX_VALUE && now - leftAt >= expiryMs;
    }
}
