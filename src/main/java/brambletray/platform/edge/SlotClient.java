package brambletray.platform.edge;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.HeldSlots;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.admission.SlotRequestCancel;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.proxy.SlotBroker;
import brambletray.platform.proxy.SlotRequester;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Requests slots for an edge's requests from the home of the service, which is this edge or another one. When the home
 * changes, unanswered requests are repeated at the new home, and the slots granted by the former one are reported to
 * it. Confined to the event loop.
 *
 * <p>Slot requests are idempotent: a request repeated on a new connection gets the same slot. A grant is accepted once,
 * and only from the current home (fencing); any other grant is released at once as {@link AttemptOutcome#UNUSED},
 * because its slot would otherwise stay occupied until the deadline of its request.
 */
final class SlotClient implements SlotBroker {
    /** Redirects by closed queues after which the next queue has to serve the request. */
    private static final int MAX_REDIRECTS_BEFORE_SERVING = 2;

    private static final int MAX_REDIRECTS = 5;
    /** Retry delay in ms that is reported if no home can be reached. */
    private static final int RETRY_AFTER_MS = 800;
    /** Maximum number of pending requests. */
    private static final int MAX_PENDING = 8_192;

    /** Delivers messages to the homes of services. */
    interface Transport {
        String self();

        /** Requests a slot from this edge's own queue; {@code serveHere}: it must not redirect the request again. */
        void requestLocally(SlotRequest request, boolean serveHere);

        void releaseLocally(SlotRelease release);

        void cancelLocally(SlotRequestCancel cancel);

        boolean send(String edge, Object frame);

        /** Whether {@code edge} cannot be reached now. */
        boolean isUnreachable(String edge);

        String zone();
    }

    private static final class PendingRequest {
        private final SlotRequest request;
        private final SlotRequester requester;
        private String zone;
        private String home;
        private int redirects;

        PendingRequest(SlotRequest request, SlotRequester requester) {
            this.request = request;
            this.requester = requester;
        }
    }

    private static final class HeldSlot {
        private final String service;
        private final SlotGrant grant;
        private final String zone;
        private String home;

        HeldSlot(String service, SlotGrant grant, String zone, String home) {
            this.service = service;
            this.grant = grant;
            this.zone = zone;
            this.home = home;
        }
    }

    private final Transport transport;
    private final InstanceTracking instanceTracking;
    private final LongSupplier clock;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<Long, HeldSlot> slots = new HashMap<>();
    /** For services whose requests go to a zone other than their root zone: that zone. */
    private final Map<String, String> zoneByService = new HashMap<>();

    private HomeAssignment homeAssignment = new HomeAssignment(Roster.NONE);

    SlotClient(Transport transport, InstanceTracking instanceTracking, LongSupplier clock) {
        this.transport = transport;
        this.instanceTracking = instanceTracking;
        this.clock = clock;
    }

    @Override
    public void requestSlot(SlotRequest request, SlotRequester requester) {
        if (pending.size() >= MAX_PENDING) {
            requester.onRefused(RETRY_AFTER_MS);
            return;
        }
        PendingRequest pendingRequest = new PendingRequest(request, requester);
        pendingRequest.zone = zoneByService.get(request.service());
        pending.put(request.id(), pendingRequest);
        route(pendingRequest);
    }

    private void route(PendingRequest pendingRequest) {
        String service = pendingRequest.request.service();
        if (pendingRequest.zone == null) {
            pendingRequest.zone = homeAssignment.rootZone(service);
        }
        Peer home = pendingRequest.zone == null ? null : home(service, pendingRequest.zone);
        if (home == null) {
            pending.remove(pendingRequest.request.id());
            pendingRequest.requester.onRefused(RETRY_AFTER_MS);
            return;
        }
        pendingRequest.home = home.name();
        boolean serveHere = pendingRequest.redirects >= MAX_REDIRECTS_BEFORE_SERVING;
        if (pendingRequest.home.equals(transport.self())) {
            transport.requestLocally(pendingRequest.request, serveHere);
        } else {
            transport.send(pendingRequest.home, pendingRequest.request);
        }
    }

    /** The home of a service, or the next candidate if it cannot be reached. */
    private Peer home(String service, String zone) {
        Peer home = homeAssignment.homeOf(service, zone);
        if (home == null || home.name().equals(transport.self()) || !transport.isUnreachable(home.name())) {
            return home;
        }
        for (Peer other : homeAssignment.homes(service, zone, 4)) {
            if (other.name().equals(transport.self()) || !transport.isUnreachable(other.name())) {
                return other;
            }
        }
        return home;
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs) {
        HeldSlot slot = slots.remove(grant.requestId());
        if (slot != null) {
            sendRelease(slot.home, new SlotRelease(grant.requestId(), grant.instanceId(), outcome, durationMs));
        }
    }

    @Override
    public void cancelRequest(long requestId) {
        PendingRequest pendingRequest = pending.remove(requestId);
        HeldSlot slot = slots.remove(requestId);
        String service = pendingRequest != null ? pendingRequest.request.service() : slot != null ? slot.service : null;
        String home = pendingRequest != null ? pendingRequest.home : slot != null ? slot.home : null;
        if (home != null) {
            if (home.equals(transport.self())) {
                transport.cancelLocally(new SlotRequestCancel(requestId, service));
            } else {
                transport.send(home, new SlotRequestCancel(requestId, service));
            }
        }
    }

    /** Handles a grant by a home. */
    void onGranted(String home, SlotGrant grant) {
        PendingRequest pendingRequest = pending.get(grant.requestId());
        if (pendingRequest == null || !home.equals(pendingRequest.home)) {
            releaseSurplusGrant(home, grant);
            return;
        }
        pending.remove(grant.requestId());
        slots.put(grant.requestId(), new HeldSlot(pendingRequest.request.service(), grant, pendingRequest.zone, home));
        instanceTracking.onInstanceAddress(grant.address());
        pendingRequest.requester.onGranted(grant);
    }

    private void releaseSurplusGrant(String home, SlotGrant grant) {
        HeldSlot slot = slots.get(grant.requestId());
        boolean isHeldFromHome = slot != null && home.equals(slot.home);
        if (isHeldFromHome && slot.grant.instanceId().equals(grant.instanceId())) {
            return;
        }
        sendRelease(home, new SlotRelease(grant.requestId(), grant.instanceId(), AttemptOutcome.UNUSED, 0));
        if (isHeldFromHome) {
            // The home records one slot per request: it has recorded this grant and must learn which slot is in use.
            reportHeld(home, heldSlotsAt(home, slot.service));
        }
    }

    private void sendRelease(String home, SlotRelease release) {
        if (home.equals(transport.self())) {
            transport.releaseLocally(release);
        } else {
            transport.send(home, release);
        }
    }

    private HeldSlots heldSlotsAt(String home, String service) {
        List<SlotGrant> grants = new ArrayList<>();
        for (HeldSlot slot : slots.values()) {
            if (home.equals(slot.home) && service.equals(slot.service)) {
                grants.add(slot.grant);
            }
        }
        return new HeldSlots(transport.self(), service, grants);
    }

    void onRefused(String home, SlotRefusal refusal) {
        PendingRequest pendingRequest = pending.get(refusal.requestId());
        if (pendingRequest != null && home.equals(pendingRequest.home)) {
            pending.remove(refusal.requestId());
            pendingRequest.requester.onRefused(refusal.retryAfterMs());
        }
    }

    /** Handles a redirect by a closed queue: this request and later ones go to the queue of another zone. */
    void onRedirect(String home, SlotRedirect redirect) {
        if (redirect.zone().equals(homeAssignment.rootZone(redirect.service()))) {
            zoneByService.remove(redirect.service());
        } else if (redirect.zone().equals(transport.zone())) {
            zoneByService.put(redirect.service(), redirect.zone());
        }
        PendingRequest pendingRequest = pending.get(redirect.requestId());
        if (pendingRequest != null && home.equals(pendingRequest.home)) {
            pendingRequest.zone = redirect.zone();
            if (++pendingRequest.redirects > MAX_REDIRECTS) {
                pending.remove(redirect.requestId());
                pendingRequest.requester.onRefused(RETRY_AFTER_MS);
            } else {
                route(pendingRequest);
            }
        }
    }

    /** Applies a new roster: reports held slots to homes that have changed, and repeats pending requests there. */
    void onRoster(HomeAssignment next) {
        homeAssignment = next;
        Map<String, Map<String, List<SlotGrant>>> reports = new HashMap<>();
        for (HeldSlot slot : slots.values()) {
            Peer home = homeAssignment.homeOf(slot.service, slot.zone);
            if (home != null && !home.name().equals(slot.home)) {
                slot.home = home.name();
                reports.computeIfAbsent(home.name(), name -> new HashMap<>())
                        .computeIfAbsent(slot.service, service -> new ArrayList<>())
                        .add(slot.grant);
            }
        }
        reports.forEach((home, services) -> services.forEach(
                (service, grants) -> reportHeld(home, new HeldSlots(transport.self(), service, grants))));
        reroute();
    }

    private void reportHeld(String home, HeldSlots held) {
        if (home.equals(transport.self())) {
            instanceTracking.onHeldLocally(held);
        } else {
            transport.send(home, held);
        }
    }

    /** Repeats pending requests whose home has changed or cannot be reached at the current home. */
    void reroute() {
        for (PendingRequest pendingRequest : new ArrayList<>(pending.values())) {
            Peer home =
                    pendingRequest.zone == null ? null : home(pendingRequest.request.service(), pendingRequest.zone);
            if (pending.get(pendingRequest.request.id()) == pendingRequest
                    && (home == null || !home.name().equals(pendingRequest.home))) {
                if (home == null) {
                    pendingRequest.zone = null;
                }
                route(pendingRequest);
            }
        }
    }

    /** Repeats requests and reports once a link to a home is up again: frames on the previous one may be lost. */
    void onHomeReconnected(String home) {
        for (PendingRequest pendingRequest : new ArrayList<>(pending.values())) {
            if (home.equals(pendingRequest.home)) {
                // Not cancelled first: the grant may be in transit, and its slot must not become free while it is used.
                transport.send(home, pendingRequest.request);
            }
        }
        Set<String> services = new HashSet<>();
        for (HeldSlot slot : slots.values()) {
            if (home.equals(slot.home)) {
                services.add(slot.service);
            }
        }
        for (String service : services) {
            transport.send(home, heldSlotsAt(home, service));
        }
    }

    int pendingCount() {
        return pending.size();
    }

    int heldCount() {
        return slots.size();
    }

    long now() {
        return clock.getAsLong();
    }

    /** Observes instance addresses, and receives reports if this edge is the home. */
    interface InstanceTracking {
        /** The address of an instance; its nested calls come from there. */
        void onInstanceAddress(String address);

        void onHeldLocally(HeldSlots held);
    }
}
