package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** One request at one host, from the grant of its place to the place's return. */
final class Attempt {
    final SlotGrant grant;
    final boolean copy;
    final long grantedAt;
    /** When its first byte went out, ms; -1 before: until then it cannot have run. */
    long sentAt = -1;

    boolean live = true;
    /** For whoever carries it out. */
    Object tag;

    Attempt(SlotGrant grant, boolean copy, long grantedAt) {
        this.grant = grant;
        this.copy = copy;
        this.grantedAt = grantedAt;
    }

    boolean sent() {
        return sentAt >= 0;
    }
}
