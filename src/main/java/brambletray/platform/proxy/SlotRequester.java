package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** Receives the result of a slot request. */
public interface SlotRequester {
    /** The slot is granted until it is released. */
    void onGranted(SlotGrant grant);

    /** The slot is refused; {@code retryAfterMs}: ms after which to ask again; -1: not known. */
    void onRefused(int retryAfterMs);
}
