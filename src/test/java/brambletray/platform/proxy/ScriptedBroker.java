package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The slot broker of a {@link Timeline}. */
final class ScriptedBroker extends Actor implements SlotBroker {
    private record PendingRequest(SlotRequest request, SlotRequester requester) {}

    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
    /** Grants scripted before their slot request. */
    private final ArrayDeque<String[]> preparedGrants = new ArrayDeque<>();

    private final Map<Long, String> heldSlots = new HashMap<>();
    private final SimulatedProxy proxy;

    ScriptedBroker(SimulatedProxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public void requestSlot(SlotRequest request, SlotRequester requester) {
        pendingRequests.add(new PendingRequest(request, requester));
        sees("wants" + (request.hedge() ? " copy" : request.retry() ? " again" : "")
                + (request.nestedCall() ? " inner" : "")
                + (request.excludedInstances().isEmpty()
                        ? ""
                        : " but " + String.join(" ", request.excludedInstances())));
        if (!preparedGrants.isEmpty()) {
            grant(preparedGrants.remove());
        }
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs) {
        heldSlots.remove(grant.requestId());
        sees(grant.instanceId() + " " + outcome + " " + durationMs);
    }

    @Override
    public void cancelRequest(long requestId) {
        if (pendingRequests.removeIf(waiting -> waiting.request().id() == requestId)) {
            sees("forgets");
        } else {
            sees("unused " + heldSlots.remove(requestId));
        }
    }

    @Override
    public void onInstanceUp(SlotGrant grant) {
        sees(grant.instanceId() + " up");
    }

    private void grant(String[] words) {
        PendingRequest next = pendingRequests.remove();
        heldSlots.put(next.request().id(), words[1]);
        next.requester()
                .onGranted(new SlotGrant(next.request().id(), words[1], proxy.address(words[1]), words.length > 2));
    }

    /** The oldest pending slot request. */
    SlotRequest oldest() {
        return pendingRequests.element().request();
    }

    /** Number of slots held or requested. */
    int openCount() {
        return heldSlots.size() + pendingRequests.size();
    }

    @Override
    boolean act(String[] words) {
        switch (words[0]) {
            case "grants" -> {
                if (pendingRequests.isEmpty()) {
                    preparedGrants.add(words);
                } else {
                    grant(words);
                }
            }
            case "refuses" ->
                pendingRequests.remove().requester().onRefused(words.length > 1 ? Integer.parseInt(words[1]) : -1);
            default -> {
                return false;
            }
        }
        return true;
    }
}
