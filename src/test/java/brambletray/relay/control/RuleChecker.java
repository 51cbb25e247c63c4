package brambletray.relay.control;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Cancel;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Fail;
import brambletray.relay.control.Relay.ListKind;
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

/** Checks the events and actions of one relay and throws at the first violation of a delivery rule. */
final class RuleChecker {
    /** Events and actions of one message so far. */
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
    /** Endpoints in slow start, with its begin; set by tests that simulate an outage and its end. */
    final Map<Long, Long> slowStartSince = new HashMap<>();

    private final Map<Long, ArrayDeque<Long>> sends = new HashMap<>();
    int violations;

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    /** Key of what a retry-after time applies to: the destination, or the endpoint where each has its own limits. */
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
            boolean startsQuietPeriod = ended.outcome() == Outcome.TIMEOUT
                    || ended.outcome() == Outcome.RESET
                    || ended.outcome() == Outcome.CANCELLED;
            if (s.accepted.key() != null && s.messageClass.inOrder() && startsQuietPeriod) {
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
                List<Long> listedIds =
                        listed.endpoints().stream().map(Endpoint::id).toList();
                endpoints.keySet().stream()
                        .filter(id -> !listedIds.contains(id))
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
                    s.messageClass.effect() == Effect.SAFE
                            || s.messageClass.effect() == Effect.KEYED && !zoneBound
                            || !s.anyMayHaveRun(),
                    "2: refused although it may have run");
            end(s, now);
        } else if (action instanceof Fail a) {
            TrackedMessage s = messages.get(a.id());
            require(!s.ended, "1: a second final answer");
            end(s, now);
        } else if (action instanceof Cancel a) {
            require(settings.allowed().cancel(), "cancel is not allowed");
            require(a.attempt() < messages.get(a.id()).sends.size(), "cancel of an attempt that was never made");
        }
    }

    private void checkSend(long now, Send a) {
        TrackedMessage s = messages.get(a.id());
        Endpoint to = endpoints.get(a.endpoint());
        require(s != null && !s.ended, "1: sent after its final answer");
        require(to != null && to.destination() == s.accepted.destination(), "sent to another destination");
        require(s.sends.size() < settings.allowed().attempts(), "too many attempts");
        require(a.timeout() > 0 && now + a.timeout() <= s.accepted.deadline(), "time-out beyond the deadline");
        Long drainTime = drainedAt.get(a.endpoint());
        require(drainTime == null || now <= drainTime + settings.rules().drainGrace(), "3: sent to a drained endpoint");
        require(!excluded.contains(a.endpoint()), "3: sent to an excluded endpoint");
        require(
                now >= retryAfterUntil.getOrDefault(limitScope(to), 0L),
                "5: sent before the retry-after time had passed");
        require(settings.allowed().hedging() || !s.hasOpenAttempt(), "2: two attempts in flight without hedging");
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
            require(
                    now < s.sentAt.get(i) + s.messageClass.dedupWindow(),
                    "2: sent again after the deduplication window");
            Endpoint previous = endpoints.get(s.sends.get(i).endpoint());
            require(
                    !s.messageClass.zoneGroup() || previous.zone() == to.zone(),
                    "2: sent again outside the zone group");
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
            require(
                    earlier.ended && !earlier.hasOpenAttempt(),
                    "6: sent before an earlier message of its key had ended");
        }
        require(
                !s.sends.isEmpty() || now >= keyQuietUntil.getOrDefault(s.accepted.key(), 0L),
                "6: sent in the quiet period of its key");
    }

    private void checkRecoveryBudget(long now, Endpoint to) {
        Long slowStart = slowStartSince.get(to.id());
        if (slowStart == null || now - slowStart >= settings.rules().cold()) {
            return;
        }
        ArrayDeque<Long> recent = sends.computeIfAbsent(to.id(), k -> new ArrayDeque<>());
        recent.addLast(now);
        recent.removeIf(t -> t <= now - settings.rules().tipAfter());
        double capacityShare = settings.rules().coldFrom()
                + (1 - settings.rules().coldFrom())
                        * Math.min(
                                1.0,
                                (double) Math.max(0, now - slowStart)
                                        / settings.rules().cold());
        double limit = settings.rules().fallMultiple()
                * to.weight()
                * capacityShare
                * settings.rules().tipAfter()
                / 1e6
                / settings.relays();
        require(
                recent.size() <= Math.max(1, limit),
                "4: recovery budget of an endpoint exceeded, " + recent.size() + " > " + limit);
    }

    /** Every message past its deadline must have ended; call at the end of each turn. */
    void checkDeadlines(long now) {
        for (TrackedMessage s : messages.values()) {
            long answerDue = s.accepted.deadline() + settings.rules().answerSlack();
            require(s.ended || now <= answerDue, "1: no final answer in time for " + s.accepted.id());
        }
        messages.values().removeIf(s -> s.ended && !s.hasOpenAttempt() && s.endedAt + 60_000_000L < now);
    }

    private void require(boolean holds, String violation) {
        if (!holds) {
            violations++;
            throw new AssertionError("rule " + violation);
        }
    }
}
