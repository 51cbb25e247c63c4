package brambletray.relay.rehearsal;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.relay.script.Script;
import brambletray.relay.script.ScriptReader;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * One night: an emulator's script, what happens to relays, and the bounds of the verdict.
 *
 * @param noticed ns until the clients' front takes a dead relay out, and a live one in
 * @param most the most that one relay may use of connections and disk
 * @param least the least score (0.7 of the whole run, 0.3 of its worst ten seconds) of the middle seed
 */
public record Night(Script script, List<RelayEvent> relayEvents, long noticed, double least, Rehearsal.Use most) {
    /** Nights that come with the program. */
    public static final List<String> BUILT_IN = List.of(
            "full-load",
            "coop-refuses",
            "one-slow",
            "all-slow",
            "all-in-one",
            "rolling-restart",
            "list-stalled",
            "power-cut",
            "flash-crowd",
            "everybody-back",
            "drains",
            "resets",
            "short-window",
            "cold-return",
            "short-summer",
            "summer-rush",
            "bulk-returns",
            "counters-cut");
    /** What the platform gives a relay on its smallest days: descriptors, and bytes of lasting folder. */
    private static final int CONNECTIONS = 384;

    private static final int DISK = 3_000_000;

    private static final double DAY_S = 86_400;

    /** Reads a file, or a night that comes with the program if there is no file of that name. */
    public static Night read(String nameOrPath) throws Faults, IOException {
        Path path = Path.of(nameOrPath);
        if (!Files.exists(path) && BUILT_IN.contains(nameOrPath)) {
            try (InputStream in = Night.class.getResourceAsStream("/nights/" + nameOrPath + ".yaml")) {
                return parse(nameOrPath + ".yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
        }
        return parse(path.toString(), Files.readString(path));
    }

    /** The text of a night that comes with the program, without what goes wrong in it: for {@link Hunt}. */
    public static String base(String name) throws IOException {
        try (InputStream in = Night.class.getResourceAsStream("/nights/" + name + ".yaml")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            return text.replaceAll("(?m)^(events|relay_events|bounds):.*\\n(  - .*\\n)*", "");
        }
    }

    /** Reads a text; {@code name} stands before each fault. */
    public static Night parse(String name, String text) throws Faults {
        List<RelayEvent> events = new ArrayList<>();
        double[] least = {0};
        long[] noticed = {0};
        Rehearsal.Use[] most = {new Rehearsal.Use(CONNECTIONS, DISK)};
        Script script = ScriptReader.parse(name, text, (root, fleet) -> {
            for (Section section : root.sections("relay_events", false)) {
                events.add(event(section, fleet.relays()));
            }
            noticed[0] = nanos(root.number("front_notices_s", 0.5, 0, 60));
            Section bounds = root.section("bounds", false);
            least[0] = bounds.number("score", 0, 0, 1);
            most[0] = new Rehearsal.Use(
                    bounds.whole("connections", CONNECTIONS, 1, 1_000_000),
                    bounds.whole("disk_bytes", DISK, 1, Integer.MAX_VALUE));
            bounds.done();
        });
        events.sort(Comparator.comparingLong(RelayEvent::at));
        return new Night(script, List.copyOf(events), noticed[0], least[0], most[0]);
    }

    private static RelayEvent event(Section section, int relays) {
        long at = nanos(section.number("at_s", 0, DAY_S));
        int relay = section.text("relay", "").equals("all") ? -1 : section.whole("relay", 0, relays - 1);
        RelayEvent.What what = RelayEvent.What.valueOf(
                section.word("do", "kill", "kill", "kill_and_lose_folder", "kill_after_write", "kill_after_sent")
                        .toUpperCase(Locale.ROOT));
        int number = section.whole("number", 1, 1, 1_000_000);
        long back = nanos(section.number("back_after_s", 1, 0.01, DAY_S));
        section.done();
        return new RelayEvent(at, relay, what, number, back);
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * 1e9);
    }
}
