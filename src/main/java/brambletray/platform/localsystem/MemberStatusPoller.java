package brambletray.platform.localsystem;

import brambletray.platform.settings.Address;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** What the members of the core say of themselves, asked once a second without waiting. */
final class MemberStatusPoller {
    private static final int TIMEOUT_MS = 800;

    private record Seen(long view, long term, String coordinator) {}

    private final OperatorClient operator;
    private final List<Address> members;
    private final Map<Address, Seen> seen = new ConcurrentHashMap<>();

    MemberStatusPoller(OperatorClient operator, List<Address> members) {
        this.operator = operator;
        this.members = members;
    }

    /** Asks them all; what they say is shown from then on, and nothing of one that doesn't answer. */
    void ask() {
        for (Address member : members) {
            operator.ask(member, "/brambletray/system/views", TIMEOUT_MS)
                    .thenCombine(
                            operator.ask(member, "/brambletray/system/duties", TIMEOUT_MS), MemberStatusPoller::read)
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
        operator.ask(edge, "/brambletray/readiness", TIMEOUT_MS)
                .thenAccept(reply -> then.accept(reply.status() == 200));
    }

    private static Seen read(OperatorClient.Reply views, OperatorClient.Reply duties) {
        if (views.status() != 200 || duties.status() != 200) {
            return null;
        }
        try {
            Map<String, Object> view = JsonValues.object(views.body());
            Map<String, Object> duty =
                    JsonValues.list(JsonValues.object(duties.body()), "duties").get(0);
            boolean there = Boolean.TRUE.equals(view.get("in-force"));
            return new Seen(
                    there ? JsonValues.number(view, "view") : 0,
                    JsonValues.number(duty, "term"),
                    duty.get("holder") == null ? null : JsonValues.text(duty, "holder"));
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Number of the newest view in force; 0: none is known. */
    long view() {
        return seen.values().stream().mapToLong(Seen::view).max().orElse(0);
    }

    /** The coordinator by the latest term, or null. */
    String coordinator() {
        Seen best = null;
        for (Seen one : seen.values()) {
            if (one.coordinator != null && (best == null || one.term > best.term)) {
                best = one;
            }
        }
        return best == null ? null : best.coordinator;
    }
}
