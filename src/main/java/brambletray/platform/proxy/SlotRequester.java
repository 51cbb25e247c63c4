package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** Whoever has asked for a place. */
public interface SlotRequester {
    /** The place is the asker's until it is given back. */
    void granted(SlotGrant grant);

    /** No place; {@code comeBackMs}: when to ask again, ms; -1: not known. */
    void refused(int comeBackMs);
}
