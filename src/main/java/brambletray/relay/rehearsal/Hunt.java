package brambletray.relay.rehearsal;

import brambletray.common.yaml.Faults;
import brambletray.relay.rehearsal.Rehearsal.Play;
import brambletray.relay.serve.Config;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Looks for nights that break a rule, or on which this build loses to a plain one: draws what goes wrong at
 * random on the base of a night, and shrinks what it finds to the fewest events that still do it. A draw is
 * the same for the same base and number.
 */
public final class Hunt {
    private static final int EVENTS_MOST = 6;
    /** Score lost against the reference from which on a night is a find: more than seeds differ by. */
    private static final double LOSS = 0.05;

    /** A night that breaks a rule, as a file that replays it; {@code seed}: with which it does. */
    public record Find(long draw, long seed, String yaml, List<String> faults, int drawn, int left) {}

    private record Event(boolean ofRelay, String line) {}

    private final String base;
    private final List<String> endpoints = new ArrayList<>();
    private final int relays;
    private final double seconds;
    private final Path folder;

    /** {@code base}: a night's text without events; {@code folder}: for configurations. */
    public Hunt(String base, Path folder) throws Faults {
        this.base = base;
        this.folder = folder;
        Night night = Night.parse("base.yaml", base);
        night.script()
                .partners()
                .forEach(partnerSpec ->
                        partnerSpec.endpoints().forEach(endpointSpec -> endpoints.add(endpointSpec.name())));
        relays = night.script().fleet().relays();
        seconds = night.script().length() / 1e9;
    }

    /** One draw; empty if no rule is broken. */
    public Optional<Find> draw(long number) throws Faults, IOException, Config.Unusable {
        SplittableRandom random = new SplittableRandom(number);
        List<Event> events = new ArrayList<>();
        int many = 1 + random.nextInt(EVENTS_MOST);
        for (int i = 0; i < many; i++) {
            events.add(event(random));
        }
        List<String> faults = faults(events, number);
        if (faults.isEmpty()) {
            return Optional.empty();
        }
        List<Event> left = new ArrayList<>(events);
        for (boolean smaller = true; smaller; ) {
            smaller = false;
            for (int i = 0; i < left.size(); i++) {
                List<Event> fewer = new ArrayList<>(left);
                fewer.remove(i);
                List<String> still = faults(fewer, number);
                if (!still.isEmpty()) {
                    left = fewer;
                    faults = still;
                    smaller = true;
                    break;
                }
            }
        }
        return Optional.of(new Find(number, number, yaml(left), faults, events.size(), left.size()));
    }

    /**
     * What speaks against a night: rules broken; else that this build loses much against the reference, one
     * try for each message, in order.
     */
    private List<String> faults(List<Event> events, long seed) throws Faults, IOException, Config.Unusable {
        Night night = Night.parse("drawn.yaml", yaml(events));
        Path own = Files.createDirectories(folder.resolve("draw-" + seed));
        Play play = Rehearsal.play(night, seed, own);
        List<String> faults = Verdict.of(
                        new Night(night.script(), night.relayEvents(), night.noticed(), 0, night.most()), List.of(play))
                .faults();
        if (!faults.isEmpty()) {
            return faults;
        }
        double plain =
                Rehearsal.play(night, seed, own, Hunt::oneTry, null).result().score();
        double lost = plain - play.result().score();
        return lost < LOSS
                ? List.of()
                : List.of(String.format(
                        Locale.ROOT,
                        "score %.3f, where one try for each message has %.3f",
                        play.result().score(),
                        plain));
    }

    /** A relay's configuration, with one try for each message and no copies. */
    static String oneTry(String config) {
        return config.replaceAll("\"most-tries\"\\s*:\\s*\\d+", "\"most-tries\":1")
                .replaceAll("\"second-copies\"\\s*:\\s*true", "\"second-copies\":false");
    }

    private String yaml(List<Event> events) {
        StringBuilder text = new StringBuilder(base);
        for (boolean ofRelay : new boolean[] {false, true}) {
            List<Event> some =
                    events.stream().filter(event -> event.ofRelay == ofRelay).toList();
            if (!some.isEmpty()) {
                text.append(ofRelay ? "relay_events:\n" : "events:\n");
                some.forEach(event -> text.append("  - ").append(event.line).append('\n'));
            }
        }
        return text.toString();
    }

    private Event event(SplittableRandom random) {
        double at = Math.round(random.nextDouble() * seconds * 8) / 10.0;
        double span = Math.round((0.3 + random.nextDouble() * seconds * 0.2) * 10) / 10.0;
        if (random.nextInt(4) == 0) {
            String relay = random.nextInt(4) == 0 ? "all" : "" + random.nextInt(relays);
            return new Event(
                    true,
                    String.format(
                            Locale.ROOT,
                            "{at_s: %s, relay: %s, do: kill," + " back_after_s: %s}",
                            at,
                            relay,
                            Math.round((0.2 + random.nextDouble() * 5) * 10) / 10.0));
        }
        String on = endpoints.get(random.nextInt(endpoints.size()));
        String what = switch (random.nextInt(9)) {
            case 0 -> "for_s: " + span + ", do: shut, on: " + on;
            case 1 -> "for_s: " + span + ", do: down, on: " + on;
            case 2 -> "for_s: " + span + ", do: vanish, on: " + on;
            case 3 -> "for_s: " + span + ", do: hang, on: " + on;
            case 4 -> "for_s: " + span + ", do: slow, factor: " + (2 + random.nextInt(6)) + ", on: " + on;
            case 5 -> "for_s: " + span + ", do: spoil, reset_before: 0.1, reset_after: 0.1, on: " + on;
            case 6 -> "do: replace, on: " + on;
            case 7 -> "for_s: " + span + ", do: pause, on: " + on;
            default -> "for_s: " + span + ", do: list_stalled";
        };
        return new Event(false, "{at_s: " + at + ", " + what + "}");
    }
}
