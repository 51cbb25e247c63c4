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
 * The file that names a relay's siblings; deploy/siblings.yaml has every key.
 *
 * @param cluster only notes of this cluster count
 * @param name this relay's own name, which its folder keeps
 * @param listen where notes of the others come in
 * @param others where each of the others listens, by name
 * @param key of the keyed hash of each note
 * @param beatMs between two notes of a relay that lives
 * @param askMs how long one that starts asks at most
 * @param trusting whether a folder that nobody confirms is believed
 */
public record PeersFile(
        String cluster,
        String name,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> others,
        byte[] key,
        int beatMs,
        int askMs,
        boolean trusting) {
    private static final int KEY_LEAST = 16;
    private static final int KEY_MOST = 1_024;
    private static final int OTHERS_MOST = 300;

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
        for (Section s : root.sections("siblings", true)) {
            String other = name(s, "name");
            if (other.equals(name) || others.put(other, address(s, "address")) != null) {
                s.fault("name", "expected each sibling once, and not this relay itself: '" + other + "'");
            }
            s.done();
        }
        if (others.size() > OTHERS_MOST) {
            root.fault("siblings", "expected no more than " + OTHERS_MOST);
        }
        root.done();
        content.file().check();
        byte[] key = Files.readAllBytes(keyFile);
        if (key.length < KEY_LEAST || key.length > KEY_MOST) {
            root.fault(
                    "key_file",
                    "expected a file of " + KEY_LEAST + " to " + KEY_MOST + " bytes, " + keyFile + " has "
                            + key.length);
        }
        content.file().check();
        return new PeersFile(cluster, name, listen, others, key, beat, ask, trusting);
    }

    private static String name(Section s, String field) {
        String name = s.text(field);
        if (!name.matches("[A-Za-z0-9._-]{1," + PeerMessageCodec.NAME_MOST + "}")) {
            s.fault(field, "expected letters, digits, '.', '_' and '-', up to " + PeerMessageCodec.NAME_MOST);
        }
        return name;
    }

    private static InetSocketAddress address(Section s, String field) {
        String text = s.text(field);
        try {
            return Addresses.parse(text);
        } catch (Wire.Malformed e) {
            s.fault(field, "expected an IP address and a port, not '" + text + "'");
            return null;
        }
    }
}
