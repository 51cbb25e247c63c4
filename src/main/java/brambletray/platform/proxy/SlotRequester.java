package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** Whoever has asked for a place. */
public interface SlotRequester {
    /** The place is the asker's until it is given back. */
    void onGranted(SlotGrant grant);

    /** No place; {@code retryAfterMs}: when to ask again, ms; -1: not known. */
    void onRefused(int retryAfterMs);
}
