package brambletray.relay.control;

import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointKnowledge;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.LimitScope;
import brambletray.relay.control.State.TimerKind;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The list of endpoints, what operators take out of it, and what earlier modules knew of them. */
record Endpoints(Settings settings, Memory memory, Turn turn, Pace pace, Backoff backoff, Outages outages) {
    /** us; an endpoint off the list is forgotten after this: later than any retry-after time or slow start. */
    private static final long FORGET_AFTER_US = 60 * SECOND;

    Destination destination(long id) {
        return memory.destinations.computeIfAbsent(
                id, k -> new Destination(settings.classes().size() * Messages.QUEUES_PER_CLASS));
    }

    void onListed(EndpointsListed listed) {
        Map<Long, EndpointState> routes = memory.endpoints;
        Set<Long> named = new HashSet<>();
        for (Endpoint listedEndpoint : listed.endpoints()) {
            named.add(listedEndpoint.id());
            EndpointState endpoint = routes.get(listedEndpoint.id());
            if (endpoint != null
                    && listedEndpoint.listing() != Listing.GONE
                    && endpoint.destination != destination(listedEndpoint.destination())) {
                // Guards destinations against a number that stands for another host by now.
                remove(endpoint);
                endpoint = null;
            }
            if (listedEndpoint.listing() != Listing.GONE) {
                endpoint = endpoint == null ? add(listedEndpoint) : endpoint;
                endpoint.destination.endpoints.put(endpoint.id, endpoint);
                endpoint.ready = listedEndpoint.listing() == Listing.READY;
                pace.onListed(endpoint.limitScope, listedEndpoint.weight());
                memory.dispatchable.add(endpoint.destination);
            } else if (endpoint != null) {
                remove(endpoint);
            }
        }
        if (listed.kind() == ListKind.FULL) {
            routes.values().stream()
                    .filter(endpoint -> !named.contains(endpoint.id))
                    .forEach(this::remove);
        }
    }

    private EndpointState add(Endpoint listedEndpoint) {
        EndpointState endpoint = new EndpointState(listedEndpoint.id(), listedEndpoint.zone(), listedEndpoint.kind());
        endpoint.disabledByOperator = memory.excluded.contains(endpoint.id);
        endpoint.destination = destination(listedEndpoint.destination());
        endpoint.destination.kind = listedEndpoint.kind();
        boolean apart = settings.kinds().get(listedEndpoint.kind()).apart();
        endpoint.limitScope = apart || endpoint.destination.sharedLimitScope == null
                ? new LimitScope()
                : endpoint.destination.sharedLimitScope;
        endpoint.destination.sharedLimitScope = apart ? endpoint.destination.sharedLimitScope : endpoint.limitScope;
        if (endpoint.limitScope.pace == 0) {
            pace.startLimitScope(endpoint.limitScope, listedEndpoint.weight());
        }
        // A new endpoint is cold, and the messages held for a failing destination would all go there at once.
        if (!endpoint.destination.endpoints.isEmpty() && !endpoint.destination.hasHealthyEndpoint()) {
            outages.markUnhealthy(endpoint, true);
            endpoint.lastSentAt = turn.now;
        }
        memory.endpoints.put(endpoint.id, endpoint);
        return endpoint;
    }

    /** What comes back into use has been restarted, or was failing: probes first, then the return budget. */
    void onExcluded(EndpointExclusion exclusion) {
        Set<Long> excluded = memory.excluded;
        boolean changed = exclusion.excluded() ? excluded.add(exclusion.endpoint()) : excluded.remove(exclusion.endpoint());
        EndpointState endpoint = memory.endpoints.get(exclusion.endpoint());
        if (changed && endpoint != null) {
            endpoint.disabledByOperator = exclusion.excluded();
            if (!endpoint.disabledByOperator) {
                outages.markUnhealthy(endpoint, true);
            }
            memory.dispatchable.add(endpoint.destination);
        }
    }

    /**
     * Guards hosts against relays that were killed: a retry-after time goes on, and so does an outage or a slow start.
     */
    void restore(EndpointState endpoint, EndpointKnowledge known) {
        if (known.retryAfter() > 0) {
            backoff.restore(endpoint.limitScope, known.retryAfter());
        }
        if (known.limit() > 0) {
            pace.restore(endpoint, known.limit(), known.pace());
        }
        if (known.isUnhealthy() || known.slowStartAge() >= 0) {
            outages.markUnhealthy(endpoint, true);
            endpoint.lastSentAt = turn.now;
        }
        if (known.slowStartAge() >= 0) {
            endpoint.health = Health.SLOW_START;
            endpoint.slowStartAt = turn.now - known.slowStartAge();
        }
    }

    /** Takes an endpoint off the list; its state is kept for a while, as waits and health outlast a gap. */
    private void remove(EndpointState endpoint) {
        endpoint.ready = false;
        if (endpoint.destination.endpoints.remove(endpoint.id) != null) {
            endpoint.removedAt = turn.now;
            turn.schedule(turn.now + FORGET_AFTER_US, TimerKind.FORGET_ENDPOINT, endpoint);
        }
    }

    void forget(EndpointState endpoint) {
        if (endpoint.removedAt + FORGET_AFTER_US <= turn.now
                && endpoint.inflight == 0
                && !endpoint.destination.endpoints.containsKey(endpoint.id)) {
            memory.endpoints.remove(endpoint.id, endpoint);
        }
    }
}
