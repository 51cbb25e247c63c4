package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Ended;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Excluded;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.Listed;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.MessageClass;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Refuse;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Withdrawn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Watches one relay's events and actions and throws on the first breach of a rule. */
final class RuleChecker {
    /** What is known of one message. */
    static final class Seen {
        Accepted taken;
        MessageClass cls;
        boolean over;
        long overAt;
        final List<Send> sends = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final Map<Integer, Outcome> ends = new HashMap<>();

        boolean maybeRan(int attempt) {
            Outcome o = ends.get(attempt);
            return o == null || !o.neverRan();
        }

        boolean anyMaybeRan() {
            for (int i = 0; i < sends.size(); i++) {
                if (maybeRan(i)) {
                    return true;
                }
            }
            return false;
        }

        boolean open() {
            return ends.size() < sends.size();
        }
    }

    final Settings set;
    final Map<String, Seen> messages = new LinkedHashMap<>();
    private final Map<String, List<Seen>> keys = new HashMap<>();
    private final Map<String, Long> keyRest = new HashMap<>();
    final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Map<Long, Long> drained = new HashMap<>();
    private final Set<Long> excluded = new HashSet<>();
    private final Map<Long, Long> waits = new HashMap<>();
    /** Endpoints under the return budget: set by a test that declares an outage and its end. */
    final Map<Long, Long> coldSince = new HashMap<>();

    private final Map<Long, ArrayDeque<Long>> sends = new HashMap<>();
    int breaches;

    RuleChecker(Settings set) {
        this.set = set;
    }

    /** The lane that a wait binds: the destination, or the route where routes are apart. */
    private long lane(Endpoint e) {
        return set.kinds().get(e.kind()).apart() ? e.id() : -1 - e.destination();
    }

    void event(long now, Event event) {
        if (event instanceof Accepted accepted) {
            Seen s = new Seen();
            s.taken = accepted;
            s.cls = set.classes().get(accepted.messageClass());
            messages.put(accepted.id(), s);
            if (s.cls.inOrder() && accepted.key() != null) {
                keys.computeIfAbsent(accepted.key(), k -> new ArrayList<>()).add(s);
            }
        } else if (event instanceof Ended ended) {
            Seen s = messages.get(ended.id());
            s.ends.put(ended.attempt(), ended.outcome());
            if (ended.outcome() == Outcome.OK || ended.over()) {
                end(s, now);
            }
            if (ended.retryAfter() > 0) {
                waits.merge(lane(endpoints.get(ended.endpoint())), now + ended.retryAfter(), Math::max);
            }
            boolean rests = ended.outcome() == Outcome.TIMEOUT
                    || ended.outcome() == Outcome.RESET
                    || ended.outcome() == Outcome.CANCELLED;
            if (s.taken.key() != null && s.cls.inOrder() && rests) {
                keyRest.put(s.taken.key(), now + set.rules().keyRest());
            }
        } else if (event instanceof Excluded exclusion) {
            if (exclusion.out()) {
                excluded.add(exclusion.endpoint());
            } else {
                excluded.remove(exclusion.endpoint());
            }
        } else if (event instanceof Withdrawn withdrawn) {
            end(messages.get(withdrawn.id()), now);
        } else if (event instanceof Listed listed) {
            for (Endpoint listedEndpoint : listed.endpoints()) {
                endpoints.put(listedEndpoint.id(), listedEndpoint);
                if (listedEndpoint.listing() == Listing.READY) {
                    drained.remove(listedEndpoint.id());
                } else {
                    drained.putIfAbsent(listedEndpoint.id(), now);
                }
            }
            if (listed.kind() == ListKind.FULL) {
                List<Long> named = listed.endpoints().stream().map(Endpoint::id).toList();
                endpoints.keySet().stream()
                        .filter(id -> !named.contains(id))
                        .forEach(id -> drained.putIfAbsent(id, now));
            }
        }
    }

    private static void end(Seen s, long now) {
        if (!s.over) {
            s.over = true;
            s.overAt = now;
        }
    }

    void action(long now, Action action) {
        if (action instanceof Send a) {
            send(now, a);
        } else if (action instanceof Refuse a) {
            Seen s = messages.get(a.id());
            require(!s.over, "1: a second final answer");
            boolean zoneBound = s.cls.effect() == Effect.KEYED && s.cls.zoneGroup();
            require(
                    s.cls.effect() == Effect.SAFE || s.cls.effect() == Effect.KEYED && !zoneBound || !s.anyMaybeRan(),
                    "2: refused though it may have run");
            end(s, now);
        } else if (action instanceof Fail a) {
            Seen s = messages.get(a.id());
            require(!s.over, "1: a second final answer");
            end(s, now);
        } else if (action instanceof Cancel a) {
            require(set.allowed().cancel(), "cancel is not allowed");
            require(a.attempt() < messages.get(a.id()).sends.size(), "cancel of an attempt never made");
        }
    }

    private void send(long now, Send a) {
        Seen s = messages.get(a.id());
        Endpoint to = endpoints.get(a.endpoint());
        require(s != null && !s.over, "1: sent after its end");
        require(to != null && to.destination() == s.taken.destination(), "sent to another destination");
        require(s.sends.size() < set.allowed().attempts(), "too many attempts");
        require(a.timeout() > 0 && now + a.timeout() <= s.taken.deadline(), "time-out beyond the deadline");
        Long told = drained.get(a.endpoint());
        require(told == null || now <= told + set.rules().drainGrace(), "3: sent to a drained endpoint");
        require(!excluded.contains(a.endpoint()), "3: sent to an endpoint that was taken out");
        require(now >= waits.getOrDefault(lane(to), 0L), "5: sent inside a wait");
        require(set.allowed().hedging() || !s.open(), "2: two attempts out together");
        effects(now, s, to);
        order(now, s);
        budget(now, to);
        s.sends.add(a);
        s.sentAt.add(now);
    }

    private void effects(long now, Seen s, Endpoint to) {
        for (int i = 0; i < s.sends.size(); i++) {
            if (!s.maybeRan(i) || s.cls.effect() == Effect.SAFE) {
                continue;
            }
            require(s.cls.effect() == Effect.KEYED, "2: an unsafe message sent again");
            require(now < s.sentAt.get(i) + s.cls.dedupWindow(), "2: sent again outside the window");
            Endpoint before = endpoints.get(s.sends.get(i).endpoint());
            require(!s.cls.zoneGroup() || before.zone() == to.zone(), "2: sent again outside the group");
        }
    }

    private void order(long now, Seen s) {
        if (s.taken.key() == null || !s.cls.inOrder()) {
            return;
        }
        for (Seen earlier : keys.get(s.taken.key())) {
            if (earlier == s) {
                break;
            }
            require(earlier.over && !earlier.open(), "6: sent before an earlier message of its key was over");
        }
        require(!s.sends.isEmpty() || now >= keyRest.getOrDefault(s.taken.key(), 0L), "6: sent while the key rests");
    }

    private void budget(long now, Endpoint to) {
        Long cold = coldSince.get(to.id());
        if (cold == null || now - cold >= set.rules().cold()) {
            return;
        }
        ArrayDeque<Long> recent = sends.computeIfAbsent(to.id(), k -> new ArrayDeque<>());
        recent.addLast(now);
        recent.removeIf(t -> t <= now - set.rules().tipAfter());
        double warm = set.rules().coldFrom()
                + (1 - set.rules().coldFrom())
                        * Math.min(
                                1.0,
                                (double) Math.max(0, now - cold) / set.rules().cold());
        double limit =
                set.rules().fallMultiple() * to.weight() * warm * set.rules().tipAfter() / 1e6 / set.relays();
        require(
                recent.size() <= Math.max(1, limit),
                "4: pushed a returning endpoint, " + recent.size() + " > " + limit);
    }

    /** Every message whose time is up must be over; call at the end of each turn. */
    void time(long now) {
        for (Seen s : messages.values()) {
            long due = s.taken.deadline() + set.rules().answerSlack();
            require(s.over || now <= due, "1: no final answer in time for " + s.taken.id());
        }
        messages.values().removeIf(s -> s.over && !s.open() && s.overAt + 60_000_000L < now);
    }

    private void require(boolean kept, String breach) {
        if (!kept) {
            breaches++;
            throw new AssertionError("rule " + breach);
        }
    }
}
