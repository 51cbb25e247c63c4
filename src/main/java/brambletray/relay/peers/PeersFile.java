package brambletray.relay.peers;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.common.yaml.YamlFile;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The file that names a relay's peers; deploy/siblings.yaml has every key.
 *
 * @param cluster only messages of this cluster count
 * @param name this relay's own name, which its folder keeps
 * @param listen where messages of the others come in
 * @param peers where each of the others listens, by name
 * @param key of the keyed hash of each message
 * @param heartbeatIntervalMs between two messages of a running relay
 * @param inquiryTimeoutMs how long one that starts asks at most
 * @param trustsUnconfirmed whether a folder that nobody confirms is believed
 */
public record PeersFile(
        String cluster,
        String name,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> peers,
        byte[] key,
        int heartbeatIntervalMs,
        int inquiryTimeoutMs,
        boolean trustsUnconfirmed) {
    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEY_BYTES = 1_024;
    private static final int MAX_PEERS = 300;

    /** Reads and checks it whole, and the file of the key beside it. */
    public static PeersFile read(Path path) throws Faults, IOException {
        YamlFile.Content content = YamlFile.read(path);
        Section root = content.root();
        String cluster = name(root, "cluster");
        String name = name(root, "name");
        InetSocketAddress listen = address(root, "listen");
        Path keyFile = path.resolveSibling(root.text("key_file"));
        int beat = root.whole("beat_ms", 250, 20, 10_000);
        int ask = root.whole("ask_ms", 2_000, 100, 60_000);
        boolean trusting = root.word("unconfirmed", "doubt", "doubt", "trust").equals("trust");
        Map<String, InetSocketAddress> others = new LinkedHashMap<>();
        for (Section section : root.sections("siblings", true)) {
            String other = name(section, "name");
            if (other.equals(name) || others.put(other, address(section, "address")) != null) {
                section.fault("name", "expected each sibling once, and not this relay itself: '" + other + "'");
            }
            section.done();
        }
        if (others.size() > MAX_PEERS) {
            root.fault("siblings", "expected no more than " + MAX_PEERS);
        }
        root.done();
        content.file().check();
        byte[] key = Files.readAllBytes(keyFile);
        if (key.length < MIN_KEY_BYTES || key.length > MAX_KEY_BYTES) {
            root.fault(
                    "key_file",
                    "expected a file of " + MIN_KEY_BYTES + " to " + MAX_KEY_BYTES + " bytes, " + keyFile + " has "
                            + key.length);
        }
        content.file().check();
        return new PeersFile(cluster, name, listen, others, key, beat, ask, trusting);
    }

    private static String name(Section section, String field) {
        String name = section.text(field);
        if (!name.matches("[A-Za-z0-9._-]{1," + PeerMessageCodec.MAX_NAME_LENGTH + "}")) {
            section.fault(
                    field, "expected letters, digits, '.', '_' and '-', up to " + PeerMessageCodec.MAX_NAME_LENGTH);
        }
        return name;
    }

    private static InetSocketAddress address(Section section, String field) {
        String text = section.text(field);
        try {
            return Addresses.parse(text);
        } catch (Wire.Malformed malformed) {
            section.fault(field, "expected an IP address and a port, not '" + text + "'");
            return null;
        }
    }
}
