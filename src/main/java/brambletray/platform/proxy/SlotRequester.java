package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** Receives the result of a slot request. */
public interface SlotRequester {
    /** The slot is granted until it is released. */
    void onGranted(SlotGrant grant);

    /** The slot is refused; {@code retryAfterMs}: time in ms after which to retry, or -1 if unknown. */
    void onRefused(int retryAfterMs);
}
