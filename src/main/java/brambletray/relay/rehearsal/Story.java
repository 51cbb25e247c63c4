package brambletray.relay.rehearsal;

import brambletray.relay.emulator.Witness;
import brambletray.relay.stage.Score;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Everything that happened to one line, under all ids that it was handed in with, in the order of time: as
 * the clients, the agents and the partners saw it. Of endpoints and relays only those are told that it met.
 *
 * <p>Nothing is recorded as a night is played: where a rule was broken it is played once more, which is the
 * same run, with a witness who looks at this line.
 */
public final class Story implements Witness {
    private static final int EVENTS_MOST = 100_000;

    private record Event(long at, String of, String what) {}

    private final String line;
    private final List<Event> events = new ArrayList<>();
    /** Endpoints and relays that its events name. */
    private final Set<String> met = new HashSet<>();

    /** Of the line of this message. */
    public Story(String message) {
        this.line = Score.line(message);
    }

    public String line() {
        return line;
    }

    @Override
    public void saw(long at, String of, String what) {
        boolean own = Score.line(of).equals(line);
        if (own) {
            met.addAll(List.of(what.split(" ")));
        }
        if (events.size() < EVENTS_MOST && (own || !of.contains("."))) {
            events.add(new Event(at, of, what));
        }
    }

    /** What happens to a relay; told by whoever does it. */
    void relay(long at, String address, String what) {
        events.add(new Event(at, address, what));
    }

    /** One line for each event, with its time in seconds. */
    public List<String> told() {
        return events.stream()
                .filter(event ->
                        Score.line(event.of).equals(line) || met.contains(event.of) || event.of.startsWith("relay"))
                .map(event -> String.format(Locale.ROOT, "%10.6f s  %s: %s", event.at / 1e9, event.of, event.what))
                .toList();
    }
}
