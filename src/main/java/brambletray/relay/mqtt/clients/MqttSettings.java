package brambletray.relay.mqtt.clients;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.common.yaml.YamlFile;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;

/**
 * How a relay speaks MQTT with its clients: the file that {@code mqtt} in EDGE_CONFIG names.
 *
 * @param listen where clients connect
 * @param topics which topics hand messages in, and what their levels mean
 * @param answers topic of final answers for clients that name none; {@code {client}} stands for their id
 * @param takeUnacknowledged QoS 0 is taken, without an answer; else refused
 * @param users null where everybody may connect
 * @param timeMs how long a message may be delivered that tells no time
 * @param rememberMs how long ids of messages that were taken on are remembered, so that none is taken twice
 */
public record MqttSettings(
        InetSocketAddress listen,
        TopicScheme topics,
        String answers,
        boolean takeUnacknowledged,
        Users users,
        int connections,
        int packetBytes,
        int receiveMaximum,
        long sessionExpiryMs,
        int sessions,
        int answersHeld,
        long timeMs,
        long rememberMs) {
    private static final int PACKET_MOST = 16 << 20;

    /** Reads and checks a file; a users file is sought beside it. */
    public static MqttSettings read(Path path) throws Faults, IOException {
        YamlFile.Content content = YamlFile.read(path);
        Section root = content.root();
        InetSocketAddress listen = null;
        try {
            listen = Addresses.parse(root.text("listen", "127.0.0.1:1883"));
        } catch (Wire.Malformed malformed) {
            root.fault("listen", malformed.getMessage());
        }
        TopicScheme topics = null;
        try {
            topics = TopicScheme.parse(root.text("topic", "bills/{class}/{destination}/{id}"));
        } catch (IllegalArgumentException e) {
            root.fault("topic", e.getMessage());
        }
        String answers = root.text("answers", "answers/{client}");
        boolean take = root.word("qos0", "refuse", "refuse", "take").equals("take");
        long time = root.whole("time_ms", 16_000, 1, 3_600_000);
        Users users = null;
        if (root.has("users")) {
            try {
                users = Users.read(path.resolveSibling(root.text("users")));
            } catch (IOException e) {
                root.fault("users", e.getMessage());
            }
        }
        Section limits = root.section("limits", false);
        MqttSettings settings = new MqttSettings(
                listen,
                topics,
                answers,
                take,
                users,
                limits.whole("connections", 1_000, 1, 1_000_000),
                limits.whole("packet_bytes", 70_000, 128, PACKET_MOST),
                limits.whole("receive_maximum", 20, 1, 65_535),
                limits.whole("session_expiry_s", 3_600, 0, 86_400 * 30) * 1_000L,
                limits.whole("sessions", 10_000, 1, 1_000_000),
                limits.whole("answers", 1_000, 1, 100_000),
                time,
                limits.whole("remember_s", 60, 1, 86_400) * 1_000L);
        limits.done();
        root.done();
        content.file().check();
        return settings;
    }
}
