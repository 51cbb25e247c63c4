package brambletray.relay.standalone;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.common.yaml.YamlFile;
import brambletray.relay.mqtt.clients.MqttSettings;
import brambletray.relay.peers.PeersFile;
import brambletray.relay.serve.Config;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The file of a relay that runs without the platform; deploy/standalone.yaml has every key.
 *
 * @param inventories files that list the hosts, the one that counts most first
 * @param agent a discovery agent that lists hosts too, after the files; null for none
 * @param events whether files are looked at as soon as the system tells of an edit
 * @param removeMost share of hosts that one edit may take away unsealed
 * @param keepMs how long final answers are kept
 * @param answersMost how many of them at most
 * @param postTo where they are posted, null for nowhere
 * @param siblings what names its siblings, null for none
 */
record Standalone(
        Config config,
        List<Path> inventories,
        InetSocketAddress agent,
        double removeMost,
        long pollMs,
        long settleMs,
        boolean events,
        List<String> zones,
        List<String> kinds,
        long keepMs,
        int answersMost,
        InetSocketAddress postTo,
        String postPath,
        PeersFile siblings) {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double TENANT_RATE = 1e9;
    private static final int SEED_MOST = Integer.MAX_VALUE;

    /** {@code other}: an inventory in the place of the file's; null for none. */
    static Standalone read(Path path, Path other) throws Faults, IOException, Config.Unusable {
        YamlFile.Content content = YamlFile.read(path);
        Section root = content.root();
        InetSocketAddress listen = address(root, "listen", root.text("listen", "127.0.0.1:8080"));
        InetSocketAddress console = root.has("console") ? address(root, "console", root.text("console")) : null;
        Path state = path.resolveSibling(root.text("folder", "state"));
        InetSocketAddress agent = root.has("agent") ? address(root, "agent", root.text("agent")) : null;
        List<Path> inventories = new ArrayList<>();
        for (String named : root.texts("inventory", agent == null)) {
            if (inventories.contains(path.resolveSibling(named))) {
                root.fault("inventory", "expected each file once, not '" + named + "' again");
            }
            inventories.add(path.resolveSibling(named));
        }
        if (other != null) {
            inventories = List.of(other);
        }
        int diskMb = root.whole("disk_mb", 64, 1, 100_000);
        int sockets = root.whole("sockets", 1_024, 64, 1_000_000);
        int seed = root.whole("seed", 1, 0, SEED_MOST);
        Store.Promise promise =
                root.word("outlasts", "machine", "process", "machine").equals("machine")
                        ? Store.Promise.MACHINE
                        : Store.Promise.PROCESS;
        MqttSettings mqtt = null;
        if (root.has("mqtt")) {
            mqtt = MqttSettings.read(path.resolveSibling(root.text("mqtt")));
        }
        Path quotas = root.has("quotas") ? path.resolveSibling(root.text("quotas")) : null;
        PeersFile siblings = root.has("siblings") ? PeersFile.read(path.resolveSibling(root.text("siblings"))) : null;
        List<String> tenants = root.texts("tenants", false);
        List<String> zones = names(root, "zones");
        List<String> kinds = names(root, "kinds");
        Section guards = root.section("guards", false);
        double removeMost = guards.number("remove_most", 0.3, 0, 1);
        int poll = guards.whole("poll_ms", 100, 10, 60_000);
        boolean events = guards.flag("events", true);
        int settle = guards.whole("settle_ms", 300, 0, 60_000);
        guards.done();
        Section answers = root.section("answers", false);
        int keep = answers.whole("keep_s", 600, 1, 86_400 * 7);
        int most = answers.whole("most", 20_000, 100, 10_000_000);
        InetSocketAddress postTo = answers.has("post_to") ? address(answers, "post_to", answers.text("post_to")) : null;
        String postPath = answers.text("post_path", "/answers");
        if (!postPath.startsWith("/")) {
            answers.fault("post_path", "expected a path that begins with /");
        }
        answers.done();
        String settings = settings(root, zones, kinds, tenants);
        root.done();
        content.file().check();
        Files.createDirectories(state);
        try {
            Config config = Config.of(
                    listen,
                    console,
                    state,
                    seed,
                    sockets,
                    diskMb * 1_000_000L,
                    promise,
                    Wire.decode(settings),
                    mqtt,
                    quotas);
            return new Standalone(
                    config,
                    inventories,
                    agent,
                    removeMost,
                    poll,
                    settle,
                    events,
                    zones,
                    kinds,
                    keep * 1_000L,
                    most,
                    postTo,
                    postPath,
                    siblings);
        } catch (Wire.Malformed malformed) {
            throw new IllegalStateException("settings of the relay's own can be read", malformed);
        }
    }

    private static List<String> names(Section root, String field) {
        List<String> names = root.texts(field, false);
        return names.isEmpty() ? List.of("default") : names;
    }

    private static InetSocketAddress address(Section section, String field, String text) {
        try {
            return Addresses.parse(text);
        } catch (Wire.Malformed malformed) {
            section.fault(field, "expected an IP address and a port, not '" + text + "'");
            return null;
        }
    }

    /** The settings in the form that the platform gives them in. */
    private static String settings(Section root, List<String> zones, List<String> kinds, List<String> tenants)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            Section relays = root.section("relays", false);
            int many = relays.whole("of", 1, 1, 1_000);
            out.writeNumberField("balancers", many);
            out.writeNumberField("rank", relays.whole("number", 0, 0, many - 1));
            relays.done();
            String zone = root.text("zone", zones.get(0));
            if (!zones.contains(zone)) {
                root.fault("zone", "expected one of " + String.join(", ", zones));
            }
            out.writeNumberField("zone", Math.max(0, zones.indexOf(zone)));
            texts(out, "localities", zones);
            texts(out, "kinds", kinds);
            out.writeStringField("weights", "rough");
            out.writeArrayFieldStart("tenants");
            for (String tenant : tenants) {
                out.writeStartObject();
                out.writeStringField("name", tenant);
                // What counts beyond a share is for quotas to say here.
                out.writeNumberField("quota-per-s", TENANT_RATE);
                out.writeEndObject();
            }
            out.writeEndArray();
            Section limits = root.section("limits", false);
            out.writeObjectFieldStart("allowed");
            out.writeBooleanField("cancel", true);
            out.writeBooleanField("second-copies", limits.flag("second_copies", false));
            out.writeBooleanField("retry-after", true);
            out.writeNumberField("max-retry-after", 3_000);
            out.writeNumberField("connect-timeout", limits.whole("connect_ms", 800, 10, 10_000));
            out.writeNumberField("keepalive", limits.whole("keepalive_ms", 15_000, 100, 600_000));
            out.writeNumberField("most-tries", limits.whole("tries", 12, 1, 100));
            out.writeNumberField("open-cap", limits.whole("held", 1_000, 1, 1_000_000));
            out.writeNumberField("max-streams", 1);
            out.writeEndObject();
            out.writeObjectFieldStart("family-info");
            out.writeNumberField("call-slots", limits.whole("calls", 100, 1, 100_000));
            out.writeArrayFieldStart("kind-apart");
            for (int i = 0; i < kinds.size(); i++) {
                out.writeBoolean(true);
            }
            out.writeEndArray();
            out.writeEndObject();
            limits.done();
            Section cold = root.section("cold", false);
            out.writeObjectFieldStart("rules");
            out.writeNumberField("stop-sending-within", 250);
            out.writeNumberField("fall-multiple", cold.number("falls_at", 2, 1, 1_000));
            out.writeNumberField("tip-after", cold.whole("falls_after_ms", 3_000, 1, 600_000));
            out.writeNumberField("cold-from", cold.number("from", 0.2, 0.001, 1));
            out.writeNumberField("cold", cold.whole("warm_after_ms", 12_000, 0, 3_600_000));
            out.writeEndObject();
            cold.done();
            out.writeArrayFieldStart("profiles");
            List<String> seen = new ArrayList<>();
            for (Section section : root.sections("classes", true)) {
                messageClass(out, section, seen);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.toString();
    }

    private static void messageClass(JsonGenerator out, Section section, List<String> seen) throws IOException {
        String name = section.text("name");
        if (seen.contains(name) || !name.matches("[A-Za-z0-9._-]+")) {
            section.fault("name", "expected a name of its own of letters, digits, '.', '_' and '-'");
        }
        seen.add(name);
        int limit = section.whole("limit_ms", 16_000, 1, 3_600_000);
        out.writeStartObject();
        out.writeStringField("name", name);
        out.writeNumberField("aim", section.whole("aim_ms", Math.min(2_000, limit), 1, limit));
        out.writeNumberField("hard-limit", limit);
        out.writeNumberField("late-worth", section.number("late_worth", 0.3, 0, 1));
        out.writeStringField(
                "semantics",
                switch (section.word("effect", "unsafe", "safe", "keyed", "unsafe")) {
                    case "safe" -> "retryable";
                    case "keyed" -> "dedup";
                    default -> "fragile";
                });
        out.writeNumberField("window", section.whole("window_ms", 0, 0, 3_600_000));
        out.writeEndObject();
        section.done();
    }

    private static void texts(JsonGenerator out, String name, List<String> all) throws IOException {
        out.writeArrayFieldStart(name);
        for (String text : all) {
            out.writeString(text);
        }
        out.writeEndArray();
    }
}
