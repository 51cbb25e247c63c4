package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.EndpointsListed;
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
    static final class TrackedMessage {
        Accepted accepted;
        MessageClass messageClass;
        boolean ended;
        long endedAt;
        final List<Send> sends = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        final Map<Integer, Outcome> outcomes = new HashMap<>();

        boolean mayHaveRun(int attempt) {
            Outcome o = outcomes.get(attempt);
            return o == null || !o.neverRan();
        }

        boolean anyMayHaveRun() {
            for (int i = 0; i < sends.size(); i++) {
                if (mayHaveRun(i)) {
                    return true;
                }
            }
            return false;
        }

        boolean hasOpenAttempt() {
            return outcomes.size() < sends.size();
        }
    }

    final Settings settings;
    final Map<String, TrackedMessage> messages = new LinkedHashMap<>();
    private final Map<String, List<TrackedMessage>> keys = new HashMap<>();
    private final Map<String, Long> keyQuietUntil = new HashMap<>();
    final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Map<Long, Long> drainedAt = new HashMap<>();
    private final Set<Long> excluded = new HashSet<>();
    private final Map<Long, Long> retryAfterUntil = new HashMap<>();
    /** Endpoints under the return budget: set by a test that declares an outage and its end. */
    final Map<Long, Long> slowStartSince = new HashMap<>();

    private final Map<Long, ArrayDeque<Long>> sends = new HashMap<>();
    int violations;

    RuleChecker(Settings set) {
        this.settings = set;
    }

    /** The lane that a wait binds: the destination, or the route where routes are apart. */
    private long limitScope(Endpoint e) {
        return settings.kinds().get(e.kind()).apart() ? e.id() : -1 - e.destination();
    }

    void onEvent(long now, Event event) {
        if (event instanceof Accepted accepted) {
            TrackedMessage s = new TrackedMessage();
            s.accepted = accepted;
            s.messageClass = settings.classes().get(accepted.messageClass());
            messages.put(accepted.id(), s);
            if (s.messageClass.inOrder() && accepted.key() != null) {
                keys.computeIfAbsent(accepted.key(), k -> new ArrayList<>()).add(s);
            }
        } else if (event instanceof AttemptEnded ended) {
            TrackedMessage s = messages.get(ended.id());
            s.outcomes.put(ended.attempt(), ended.outcome());
            if (ended.outcome() == Outcome.OK || ended.messageEnded()) {
                end(s, now);
            }
            if (ended.retryAfter() > 0) {
                retryAfterUntil.merge(limitScope(endpoints.get(ended.endpoint())), now + ended.retryAfter(), Math::max);
            }
            boolean rests = ended.outcome() == Outcome.TIMEOUT
                    || ended.outcome() == Outcome.RESET
                    || ended.outcome() == Outcome.CANCELLED;
            if (s.accepted.key() != null && s.messageClass.inOrder() && rests) {
                keyQuietUntil.put(s.accepted.key(), now + settings.rules().keyRest());
            }
        } else if (event instanceof EndpointExclusion exclusion) {
            if (exclusion.excluded()) {
                excluded.add(exclusion.endpoint());
            } else {
                excluded.remove(exclusion.endpoint());
            }
        } else if (event instanceof Withdrawn withdrawn) {
            end(messages.get(withdrawn.id()), now);
        } else if (event instanceof EndpointsListed listed) {
            for (Endpoint listedEndpoint : listed.endpoints()) {
                endpoints.put(listedEndpoint.id(), listedEndpoint);
                if (listedEndpoint.listing() == Listing.READY) {
                    drainedAt.remove(listedEndpoint.id());
                } else {
                    drainedAt.putIfAbsent(listedEndpoint.id(), now);
                }
            }
            if (listed.kind() == ListKind.FULL) {
                List<Long> named = listed.endpoints().stream().map(Endpoint::id).toList();
                endpoints.keySet().stream()
                        .filter(id -> !named.contains(id))
                        .forEach(id -> drainedAt.putIfAbsent(id, now));
            }
        }
    }

    private static void end(TrackedMessage s, long now) {
        if (!s.ended) {
            s.ended = true;
            s.endedAt = now;
        }
    }

    void onAction(long now, Action action) {
        if (action instanceof Send a) {
            checkSend(now, a);
        } else if (action instanceof Refuse a) {
            TrackedMessage s = messages.get(a.id());
            require(!s.ended, "1: a second final answer");
            boolean zoneBound = s.messageClass.effect() == Effect.KEYED && s.messageClass.zoneGroup();
            require(
                    s.messageClass.effect() == Effect.SAFE || s.messageClass.effect() == Effect.KEYED && !zoneBound || !s.anyMayHaveRun(),
                    "2: refused though it may have run");
            end(s, now);
        } else if (action instanceof Fail a) {
            TrackedMessage s = messages.get(a.id());
            require(!s.ended, "1: a second final answer");
            end(s, now);
        } else if (action instanceof Cancel a) {
            require(settings.allowed().cancel(), "cancel is not allowed");
            require(a.attempt() < messages.get(a.id()).sends.size(), "cancel of an attempt never made");
        }
    }

    private void checkSend(long now, Send a) {
        TrackedMessage s = messages.get(a.id());
        Endpoint to = endpoints.get(a.endpoint());
        require(s != null && !s.ended, "1: sent after its end");
        require(to != null && to.destination() == s.accepted.destination(), "sent to another destination");
        require(s.sends.size() < settings.allowed().attempts(), "too many attempts");
        require(a.timeout() > 0 && now + a.timeout() <= s.accepted.deadline(), "time-out beyond the deadline");
        Long told = drainedAt.get(a.endpoint());
        require(told == null || now <= told + settings.rules().drainGrace(), "3: sent to a drained endpoint");
        require(!excluded.contains(a.endpoint()), "3: sent to an endpoint that was taken out");
        require(now >= retryAfterUntil.getOrDefault(limitScope(to), 0L), "5: sent inside a wait");
        require(settings.allowed().hedging() || !s.hasOpenAttempt(), "2: two attempts out together");
        checkEffects(now, s, to);
        checkOrder(now, s);
        checkRecoveryBudget(now, to);
        s.sends.add(a);
        s.sentAt.add(now);
    }

    private void checkEffects(long now, TrackedMessage s, Endpoint to) {
        for (int i = 0; i < s.sends.size(); i++) {
            if (!s.mayHaveRun(i) || s.messageClass.effect() == Effect.SAFE) {
                continue;
            }
            require(s.messageClass.effect() == Effect.KEYED, "2: an unsafe message sent again");
            require(now < s.sentAt.get(i) + s.messageClass.dedupWindow(), "2: sent again outside the window");
            Endpoint before = endpoints.get(s.sends.get(i).endpoint());
            require(!s.messageClass.zoneGroup() || before.zone() == to.zone(), "2: sent again outside the group");
        }
    }

    private void checkOrder(long now, TrackedMessage s) {
        if (s.accepted.key() == null || !s.messageClass.inOrder()) {
            return;
        }
        for (TrackedMessage earlier : keys.get(s.accepted.key())) {
            if (earlier == s) {
                break;
            }
            require(earlier.ended && !earlier.hasOpenAttempt(), "6: sent before an earlier message of its key was over");
        }
        require(!s.sends.isEmpty() || now >= keyQuietUntil.getOrDefault(s.accepted.key(), 0L), "6: sent while the key rests");
    }

    private void checkRecoveryBudget(long now, Endpoint to) {
        Long cold = slowStartSince.get(to.id());
        if (cold == null || now - cold >= settings.rules().cold()) {
            return;
        }
        ArrayDeque<Long> recent = sends.computeIfAbsent(to.id(), k -> new ArrayDeque<>());
        recent.addLast(now);
        recent.removeIf(t -> t <= now - settings.rules().tipAfter());
        double warm = settings.rules().coldFrom()
                + (1 - settings.rules().coldFrom())
                        * Math.min(
                                1.0,
                                (double) Math.max(0, now - cold) / settings.rules().cold());
        double limit =
                settings.rules().fallMultiple() * to.weight() * warm * settings.rules().tipAfter() / 1e6 / settings.relays();
        require(
                recent.size() <= Math.max(1, limit),
                "4: pushed a returning endpoint, " + recent.size() + " > " + limit);
    }

    /** Every message whose time is up must be over; call at the end of each turn. */
    void checkDeadlines(long now) {
        for (TrackedMessage s : messages.values()) {
            long due = s.accepted.deadline() + settings.rules().answerSlack();
            require(s.ended || now <= due, "1: no final answer in time for " + s.accepted.id());
        }
        messages.values().removeIf(s -> s.ended && !s.hasOpenAttempt() && s.endedAt + 60_000_000L < now);
    }

    private void require(boolean kept, String breach) {
        if (!kept) {
            violations++;
            throw new AssertionError("rule " + breach);
        }
    }
}
