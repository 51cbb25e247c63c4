package brambletray.tray.lap;

import brambletray.tray.berth.Address;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** What the members of the core say of themselves, asked once a second without waiting. */
final class Glance {
    private static final int PATIENCE = 800;

    private record Seen(long view, long term, String helm) {}

    private final Operator operator;
    private final List<Address> members;
    private final Map<Address, Seen> seen = new ConcurrentHashMap<>();

    Glance(Operator operator, List<Address> members) {
        this.operator = operator;
        this.members = members;
    }

    /** Asks them all; what they say is shown from then on, and nothing of one that doesn't answer. */
    void ask() {
        for (Address member : members) {
            operator.ask(member, "/brambletray/system/views", PATIENCE)
                    .thenCombine(operator.ask(member, "/brambletray/system/duties", PATIENCE), Glance::read)
                    .thenAccept(now -> {
                        if (now == null) {
                            seen.remove(member);
                        } else {
                            seen.put(member, now);
                        }
                    });
        }
    }

    /** Whether an edge calls itself ready; asked without waiting. */
    void ready(Address edge, Consumer<Boolean> then) {
        operator.ask(edge, "/brambletray/readiness", PATIENCE).thenAccept(reply -> then.accept(reply.status() == 200));
    }

    private static Seen read(Operator.Reply views, Operator.Reply duties) {
        if (views.status() != 200 || duties.status() != 200) {
            return null;
        }
        try {
            Map<String, Object> view = Json.object(views.body());
            Map<String, Object> duty =
                    Json.list(Json.object(duties.body()), "duties").get(0);
            boolean there = Boolean.TRUE.equals(view.get("in-force"));
            return new Seen(
                    there ? Json.number(view, "view") : 0,
                    Json.number(duty, "term"),
                    duty.get("holder") == null ? null : Json.text(duty, "holder"));
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Number of the newest view in force; 0: none is known. */
    long view() {
        return seen.values().stream().mapToLong(Seen::view).max().orElse(0);
    }

    /** Who holds the helm by the latest term, or null. */
    String helm() {
        Seen best = null;
        for (Seen one : seen.values()) {
            if (one.helm != null && (best == null || one.term > best.term)) {
                best = one;
            }
        }
        return best == null ? null : best.helm;
    }
}
