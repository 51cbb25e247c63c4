package brambletray.relay.script;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.common.yaml.YamlFile;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.Law;
import brambletray.relay.emulator.Limit;
import brambletray.relay.emulator.PartnerSpec;
import brambletray.relay.emulator.Step;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Reads scripts: the format is on the page docs/emulator.md. The whole file is checked before any of it
 * counts.
 */
public final class ScriptReader {
    private static final double DAY_S = 86_400;
    private static final double MS_MOST = 86_400_000;
    private static final double RATE_MOST = 1_000_000;
    private static final int PARTNERS_MOST = 10_000;
    private static final int ENDPOINTS_MOST = 100;
    /** Scripts that come with the program. */
    public static final List<String> BUILT_IN =
            List.of("demo", "quiet-night", "first-night", "second-night", "third-night", "check");

    private final YamlFile file;
    private final Section root;
    private final Map<String, Section> kinds = new LinkedHashMap<>();
    private final Map<String, List<String>> places = new LinkedHashMap<>();
    private final Set<Long> destinations = new HashSet<>();

    private BiConsumer<Section, Script.Fleet> more = (section, fleet) -> {};

    private ScriptReader(YamlFile.Content content) {
        this.file = content.file();
        this.root = content.root();
    }

    /** Reads a file, or a script that comes with the program if there is no file of that name. */
    public static Script read(String nameOrPath) throws Faults, IOException {
        Path path = Path.of(nameOrPath);
        if (!Files.exists(path) && BUILT_IN.contains(nameOrPath)) {
            return builtIn(nameOrPath);
        }
        return new ScriptReader(YamlFile.read(path)).script();
    }

    /** A script that comes with the program. */
    public static Script builtIn(String name) throws Faults, IOException {
        try (InputStream in = ScriptReader.class.getResourceAsStream("/scripts/" + name + ".yaml")) {
            return parse(name + ".yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** Reads a text; {@code name} stands before each fault. */
    public static Script parse(String name, String text) throws Faults {
        return new ScriptReader(YamlFile.parse(name, text)).script();
    }

    /** As above, for a file that holds more than a script; {@code more} reads that. */
    public static Script parse(String name, String text, BiConsumer<Section, Script.Fleet> more) throws Faults {
        ScriptReader reader = new ScriptReader(YamlFile.parse(name, text));
        reader.more = more;
        return reader.script();
    }

    private Script script() throws Faults {
        String name = root.text("name");
        String about = root.text("about", "");
        long seed = root.whole("seed", 1, 0, Integer.MAX_VALUE);
        long length = seconds(root.number("length_s", 0.1, DAY_S));
        Script.Fleet fleet = fleet(root.section("fleet", false));
        Script.Traffic traffic = traffic(root.section("traffic", false), length);
        List<Script.MessageClass> classes = new ArrayList<>();
        for (Section section : root.sections("classes", false)) {
            classes.add(messageClass(section));
        }
        if (classes.isEmpty()) {
            classes.add(new Script.MessageClass("bill-post", 1, 2_000, 16_000, "keyed", 15_000, 0.3, 1));
        }
        for (Section kind : root.sections("kinds", false)) {
            if (kinds.putIfAbsent(kind.text("name"), kind) != null) {
                kind.fault("name", "stands here twice");
            }
        }
        List<PartnerSpec> partners = new ArrayList<>();
        List<Section> sections = root.sections("partners", true);
        for (Section section : sections) {
            partners(section, fleet, partners);
        }
        if (partners.isEmpty() && !sections.isEmpty()) {
            root.fault("partners", "expected one partner at least");
        }
        kinds.values().forEach(kind -> checkKind(kind));
        List<Step> steps = new ArrayList<>();
        for (Section event : root.sections("events", false)) {
            Step step = step(event, length);
            if (step != null) {
                steps.add(step);
            }
        }
        Section check = root.section("check", false);
        Script.Check load = new Script.Check(
                check.number("per_s", 5, 0.01, RATE_MOST),
                check.number("bound_percent", 5, 0.1, 100),
                check.whole("connections", 256, 1, 4_096));
        check.done();
        more.accept(root, fleet);
        root.done();
        file.check();
        return new Script(
                name,
                about,
                seed,
                length,
                fleet,
                traffic,
                List.copyOf(classes),
                List.copyOf(partners),
                List.copyOf(steps),
                load);
    }

    private static long seconds(double s) {
        return Math.round(s * 1e9);
    }

    private static long millis(double ms) {
        return Math.round(ms * 1e6);
    }

    private Script.Fleet fleet(Section section) {
        List<String> zones = section.texts("zones", false);
        Script.Fleet fleet = new Script.Fleet(
                section.whole("relays", 1, 1, 300),
                section.whole("slots", 24, 1, 10_000),
                section.whole("open", 200, 1, 1_000_000),
                zones.isEmpty() ? List.of("here") : zones,
                millis(section.number("same_zone_ms", 0.5, 0, 60_000)),
                millis(section.number("cross_zone_ms", 0.5, 0, 60_000)),
                section.number("jitter", 0.2, 0, 10),
                section.word("weights", "rough", "none", "nominal", "rough"));
        section.done();
        return fleet;
    }

    private Script.Traffic traffic(Section section, long length) {
        long from = seconds(section.number("from_s", 0, 0, DAY_S));
        Script.Traffic traffic = new Script.Traffic(
                section.number("per_s", 46, 0, RATE_MOST),
                section.number("swing", 0, 0, 1),
                seconds(section.number("period_s", 30, 0.1, DAY_S)),
                from,
                seconds(section.number("until_s", length / 1e9, 0, DAY_S)),
                section.whole("retries", 1, 0, 10),
                section.number("honour", 0.7, 0, 1),
                section.whole("body_bytes", 200, 0, 64 * 1024),
                section.number("mqtt_share", 0, 0, 1));
        section.done();
        return traffic;
    }

    private Script.MessageClass messageClass(Section section) {
        long limit = Math.round(section.number("limit_ms", 16_000, 1, 3_600_000));
        Script.MessageClass messageClass = new Script.MessageClass(
                section.text("name"),
                section.number("share", 1, 0, 1_000),
                Math.round(section.number("aim_ms", 2_000, 1, 3_600_000)),
                limit,
                section.word("effect", "keyed", "safe", "keyed", "unsafe"),
                Math.round(section.number("window_ms", 15_000, 0, 3_600_000)),
                section.number("late_worth", 0.3, 0, 1),
                section.number("worth", 1, 0.001, 1_000));
        if (!messageClass.name().matches("[A-Za-z0-9._-]+")) {
            section.fault("name", "expected letters, digits, '.', '_' and '-' only");
        }
        if (messageClass.aim() > messageClass.limit()) {
            section.fault("aim_ms", "expected no more than limit_ms");
        }
        section.done();
        return messageClass;
    }

    // ---- Partners -------------------------------------------------------------------------------
    private void partners(Section section, Script.Fleet fleet, List<PartnerSpec> all) {
        String name = section.text("name");
        int count = section.whole("count", 1, 1, PARTNERS_MOST);
        int endpoints = section.whole("endpoints", 1, 1, ENDPOINTS_MOST);
        for (int i = 1; i <= count && all.size() < PARTNERS_MOST; i++) {
            all.add(partner(section, count == 1 ? name : name + "-" + i, endpoints, fleet, all.size()));
        }
        section.done();
    }

    private PartnerSpec partner(Section section, String name, int endpoints, Script.Fleet fleet, int index) {
        if (places.containsKey(name)) {
            section.fault("name", "'" + name + "' stands here twice");
        }
        String kindName = section.text("kind", "partner");
        Section kind = kinds.get(kindName);
        if (kind == null && section.has("kind") && !kinds.isEmpty()) {
            section.fault("kind", "expected one of " + String.join(", ", kinds.keySet()));
        }
        long destination = section.whole("destination", index + 1, 1, Integer.MAX_VALUE);
        if (!destinations.add(destination)) {
            section.fault("destination", destination + " belongs to another partner");
        }
        String protocol = from(section, kind, "protocol").word("protocol", "http", PartnerSpec.PROTOCOLS);
        List<PartnerSpec.EndpointSpec> specs = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int e = 1; e <= endpoints; e++) {
            String zone = fleet.zones().get((index + e) % fleet.zones().size());
            String endpoint = endpoints == 1 ? name : name + "." + e;
            specs.add(new PartnerSpec.EndpointSpec(endpoint, zone, protocol));
            names.add(endpoint);
            places.put(endpoint, List.of(endpoint));
        }
        places.put(name, names);
        double traffic = section.number("traffic", 1, 0, 1_000_000);
        Law law = law(from(section, kind, "service"));
        int servers = from(section, kind, "servers").whole("servers", 4, 1, 10_000);
        int queue = from(section, kind, "queue").whole("queue", 16, 0, 1_000_000);
        Limit limit = limit(from(section, kind, "limit"));
        PartnerSpec.Waits waits = waits(from(section, kind, "told_waits"));
        PartnerSpec.Reports reports = reports(from(section, kind, "reports"));
        PartnerSpec.Connections connections = connections(from(section, kind, "connections"));
        PartnerSpec.Keys keys = keys(from(section, kind, "keys"));
        PartnerSpec.Cold cold = cold(from(section, kind, "cold"));
        boolean apart = from(section, kind, "routes_apart").flag("routes_apart", true);
        PartnerSpec.Abandoned abandoned = switch (from(section, kind, "abandoned")
                .word("abandoned", "runs", "runs", "dropped_in_queue", "dropped")) {
            case "dropped" -> PartnerSpec.Abandoned.DROPPED;
            case "dropped_in_queue" -> PartnerSpec.Abandoned.DROPPED_IN_QUEUE;
            default -> PartnerSpec.Abandoned.RUNS;
        };
        double capacity = servers * 1e9 / law.mean();
        double rate = limit.perSecond() > 0 ? Math.min(capacity, limit.perSecond()) : capacity;
        double listed = from(section, kind, "listed_per_s").number("listed_per_s", rate, 0.001, RATE_MOST);
        return new PartnerSpec(
                name,
                destination,
                kindName,
                traffic,
                apart,
                servers,
                law,
                queue,
                limit,
                waits,
                reports,
                connections,
                keys,
                cold,
                abandoned,
                listed,
                bundle(from(section, kind, "bundle")),
                specs);
    }

    /**
     * The section that has a field: the partner's own, else its kind's, else the partner's, for the
     * default.
     */
    private static Section from(Section partner, Section kind, String field) {
        return partner.has(field) || kind == null || !kind.has(field) ? partner : kind;
    }

    /** A kind that no partner uses is read once, so that its faults are told and its fields known. */
    private void checkKind(Section kind) {
        law(kind);
        kind.whole("servers", 4, 1, 10_000);
        kind.whole("queue", 16, 0, 1_000_000);
        limit(kind);
        waits(kind);
        reports(kind);
        connections(kind);
        keys(kind);
        cold(kind);
        kind.flag("routes_apart", true);
        bundle(kind);
        kind.word("protocol", "http", PartnerSpec.PROTOCOLS);
        kind.word("abandoned", "runs", "runs", "dropped_in_queue", "dropped");
        kind.number("listed_per_s", 1, 0.001, RATE_MOST);
        kind.done();
    }

    /** Messages that one call may bring. */
    private static int bundle(Section from) {
        return from.whole("bundle", 1, 1, 1_000);
    }

    private static Law law(Section from) {
        Section section = from.section("service", false);
        String law = section.word("law", "exponential", "constant", "exponential", "lognormal");
        double mean = section.number("mean_ms", 140, 0.001, MS_MOST) * 1e6;
        double cv = section.number("cv", 0.3, 0, 100);
        if (section.has("cv") && !law.equals("lognormal")) {
            section.fault("cv", "expected with law lognormal only");
        }
        section.done();
        return switch (law) {
            case "constant" -> new Law.Constant(mean);
            case "lognormal" -> new Law.LogNormal(mean, cv);
            default -> new Law.Exponential(mean);
        };
    }

    private static Limit limit(Section from) {
        if (!from.has("limit")) {
            from.section("limit", false);
            return new Limit.None();
        }
        Section section = from.section("limit", true);
        boolean refusedUse = section.flag("refused_use", false);
        Limit limit;
        if (section.has("per_s") == section.has("count")) {
            section.fault("per_s", "expected either per_s (with burst) or count (with span_ms)");
        }
        if (section.has("count")) {
            limit = new Limit.Span(
                    section.whole("count", 1, 1, 1_000_000),
                    millis(section.number("span_ms", 1_000, 1, MS_MOST)),
                    refusedUse);
        } else {
            double rate = section.number("per_s", 0.001, RATE_MOST);
            limit = new Limit.Rate(rate, section.number("burst", Math.max(1, rate / 4), 1, RATE_MOST), refusedUse);
        }
        section.done();
        return limit;
    }

    private static PartnerSpec.Waits waits(Section from) {
        Section section = from.section("told_waits", false);
        double least = section.number("least_ms", 0, 0, MS_MOST);
        double most = section.number("most_ms", least, 0, MS_MOST);
        if (most < least) {
            section.fault("most_ms", "expected no less than least_ms");
        }
        PartnerSpec.Waits waits =
                new PartnerSpec.Waits(section.number("share", 0.5, 0, 1), millis(least), millis(Math.max(least, most)));
        section.done();
        return waits;
    }

    private static PartnerSpec.Reports reports(Section from) {
        boolean there = from.has("reports");
        Section section = from.section("reports", false);
        PartnerSpec.Reports reports = new PartnerSpec.Reports(
                millis(section.number("refresh_ms", 400, 1, MS_MOST)),
                millis(section.number("delay_ms", 0, 0, 60_000)));
        section.done();
        return there ? reports : null;
    }

    private static PartnerSpec.Connections connections(Section from) {
        Section section = from.section("connections", false);
        PartnerSpec.Connections connections = new PartnerSpec.Connections(
                section.whole("cap", 1_000, 1, 1_000_000),
                millis(section.number("handshake_ms", 0, 0, 60_000)),
                millis(section.number("idle_ms", 15_000, 1, MS_MOST)));
        section.done();
        return connections;
    }

    private static PartnerSpec.Keys keys(Section from) {
        Section section = from.section("keys", false);
        PartnerSpec.Keys keys = new PartnerSpec.Keys(
                millis(section.number("window_ms", 15_000, 0, MS_MOST)),
                section.word("group", "all", "all", "zone").equals("zone"));
        section.done();
        return keys;
    }

    private static PartnerSpec.Cold cold(Section from) {
        Section section = from.section("cold", false);
        PartnerSpec.Cold cold = new PartnerSpec.Cold(
                section.number("from", 0.19, 0.01, 1),
                millis(section.number("warm_ms", 12_000, 1, MS_MOST)),
                section.number("multiple", 2, 1, 1_000),
                millis(section.number("fall_ms", 3_000, 1, MS_MOST)),
                section.number("slack_calls", 4, 0, 1_000_000));
        section.done();
        return cold;
    }

    // ---- Events ---------------------------------------------------------------------------------
    private Step step(Section section, long length) {
        long at = seconds(section.number("at_s", 0, DAY_S));
        if (at > length) {
            section.fault("at_s", "expected no more than length_s");
        }
        long span = seconds(section.number("for_s", 0, 0, DAY_S));
        String word = section.word(
                "do",
                "",
                "shut",
                "down",
                "vanish",
                "hang",
                "pause",
                "slow",
                "spoil",
                "drain",
                "leave",
                "return",
                "replace",
                "list_late",
                "list_stalled",
                "list_moved");
        if (word.isEmpty()) {
            if (!section.has("do")) {
                section.fault("do", "is missing: expected what happens");
            }
            return null;
        }
        boolean needsEnd =
                !Set.of("drain", "leave", "return", "replace", "list_moved").contains(word);
        if (needsEnd && span <= 0) {
            section.fault("for_s", "expected a time above 0 for " + word);
        }
        if (Set.of("return", "replace", "list_moved").contains(word) && span > 0) {
            section.fault("for_s", word + " has no end");
        }
        Step.What what = switch (word) {
            case "shut" -> new Step.Shut(section.flag("told_waits", true));
            case "down" -> new Step.Down();
            case "vanish" -> new Step.Vanish();
            case "hang" -> new Step.Hang();
            case "pause" ->
                new Step.Pause(section.word("answers", "late", "late", "never").equals("never"));
            case "slow" -> new Step.Slow(section.number("factor", 0.01, 1_000));
            case "spoil" -> new Step.Spoil(spoils(section));
            case "drain" -> new Step.Drain(section.flag("refuses", false));
            case "leave" -> new Step.Leave();
            case "return" -> new Step.Return();
            case "replace" -> new Step.Replace();
            case "list_late" -> new Step.ListLate(seconds(section.number("by_s", 0, 3_600)));
            case "list_moved" -> new Step.ListMoved();
            default -> new Step.ListStalled();
        };
        List<String> on = word.startsWith("list_") ? List.of() : endpoints(section);
        section.done();
        return new Step(at, at + span, on, what, section.line());
    }

    private static Endpoint.Spoils spoils(Section section) {
        Endpoint.Spoils spoils = new Endpoint.Spoils(
                section.number("failed", 0, 0, 1),
                section.number("reset_before", 0, 0, 1),
                section.number("reset_after", 0, 0, 1),
                section.number("spoilt", 0, 0, 1));
        double all = spoils.failed() + spoils.resetBefore() + spoils.resetAfter() + spoils.spoilt();
        if (all <= 0 || all > 1) {
            section.fault("do", "expected failed, reset_before, reset_after, spoilt with a sum above 0, up to 1");
        }
        return spoils;
    }

    /** Names of endpoints, partners or kinds, or all; each endpoint once, in the order of the script. */
    private List<String> endpoints(Section section) {
        Set<String> all = new LinkedHashSet<>();
        for (String name : section.texts("on", true)) {
            if (name.equals("all")) {
                places.values().forEach(all::addAll);
            } else if (places.containsKey(name)) {
                all.addAll(places.get(name));
            } else {
                section.fault("on", "no partner or endpoint is called '" + name + "'");
            }
        }
        return List.copyOf(all);
    }
}
