package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The broker of a drawn timeline. */
final class ScriptedBroker extends Actor implements SlotBroker {
    private record Waiting(SlotRequest ask, SlotRequester taker) {}

    private final ArrayDeque<Waiting> asks = new ArrayDeque<>();
    /** Granted before it is asked for. */
    private final ArrayDeque<String[]> ready = new ArrayDeque<>();

    private final Map<Long, String> held = new HashMap<>();
    private final SimulatedProxy street;

    ScriptedBroker(SimulatedProxy street) {
        this.street = street;
    }

    @Override
    public void requestSlot(SlotRequest ask, SlotRequester taker) {
        asks.add(new Waiting(ask, taker));
        sees("wants" + (ask.hedge() ? " copy" : ask.retry() ? " again" : "") + (ask.nestedCall() ? " inner" : "")
                + (ask.excludedInstances().isEmpty() ? "" : " but " + String.join(" ", ask.excludedInstances())));
        if (!ready.isEmpty()) {
            grant(ready.remove());
        }
    }

    @Override
    public void releaseSlot(SlotGrant grant, AttemptOutcome fate, int tookMs) {
        held.remove(grant.requestId());
        sees(grant.instanceId() + " " + fate + " " + tookMs);
    }

    @Override
    public void cancelRequest(long askId) {
        if (asks.removeIf(waiting -> waiting.ask().id() == askId)) {
            sees("forgets");
        } else {
            sees("unused " + held.remove(askId));
        }
    }

    @Override
    public void onInstanceUp(SlotGrant grant) {
        sees(grant.instanceId() + " up");
    }

    private void grant(String[] words) {
        Waiting next = asks.remove();
        held.put(next.ask().id(), words[1]);
        next.taker().onGranted(new SlotGrant(next.ask().id(), words[1], street.address(words[1]), words.length > 2));
    }

    /** The oldest request that waits for its answer. */
    SlotRequest oldest() {
        return asks.element().ask();
    }

    /** Places out, or asked for. */
    int open() {
        return held.size() + asks.size();
    }

    @Override
    boolean act(String[] words) {
        switch (words[0]) {
            case "grants" -> {
                if (asks.isEmpty()) {
                    ready.add(words);
                } else {
                    grant(words);
                }
            }
            case "refuses" -> asks.remove().taker().onRefused(words.length > 1 ? Integer.parseInt(words[1]) : -1);
            default -> {
                return false;
            }
        }
        return true;
    }
}
