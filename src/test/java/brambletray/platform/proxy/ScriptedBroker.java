package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The broker of a drawn timeline. */
final class ScriptedBroker extends Actor implements SlotBroker {
    private record PendingRequest(SlotRequest request, SlotRequester requester) {}

    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
    /** Granted before it is asked for. */
    private final ArrayDeque<String[]> preparedGrants = new ArrayDeque<>();

    private final Map<Long, String> heldSlots = new HashMap<>();
    private final SimulatedProxy proxy;

    ScriptedBroker(SimulatedProxy street) {
        this.proxy = street;
    }

    @Override
    public void requestSlot(SlotRequest ask, SlotRequester taker) {
        pendingRequests.add(new PendingRequest(ask, taker));
        sees("wants" + (ask.hedge() ? " copy" : ask.retry() ? " again" : "") + (ask.nestedCall() ? " inner" : "")
                + (ask.excludedInstances().isEmpty() ? "" : " but " + String.join(" ", ask.excludedInstances())));
        if (!preparedGrants.isEmpty()) {
            grant(preparedGrants.remove());
        }
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome fate, int tookMs) {
        heldSlots.remove(grant.requestId());
        sees(grant.instanceId() + " " + fate + " " + tookMs);
    }

    @Override
    public void cancelRequest(long askId) {
        if (pendingRequests.removeIf(waiting -> waiting.request().id() == askId)) {
            sees("forgets");
        } else {
            sees("unused " + heldSlots.remove(askId));
        }
    }

    @Override
    public void onInstanceUp(SlotGrant grant) {
        sees(grant.instanceId() + " up");
    }

    private void grant(String[] words) {
        PendingRequest next = pendingRequests.remove();
        heldSlots.put(next.request().id(), words[1]);
        next.requester().onGranted(new SlotGrant(next.request().id(), words[1], proxy.address(words[1]), words.length > 2));
    }

    /** The oldest request that waits for its answer. */
    SlotRequest oldest() {
        return pendingRequests.element().request();
    }

    /** Places out, or asked for. */
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
            case "refuses" -> pendingRequests.remove().requester().onRefused(words.length > 1 ? Integer.parseInt(words[1]) : -1);
            default -> {
                return false;
            }
        }
        return true;
    }
}
