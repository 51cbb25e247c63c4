package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** One attempt of a request at one host, from the grant of its slot to its release. */
final class Attempt {
    final SlotGrant grant;
    final boolean hedge;
    final long grantedAtMs;
    /** When its first byte went out, ms; -1 before: until then it cannot have run. */
    long sentAtMs = -1;

    boolean active = true;
    /** For whoever carries it out. */
    Object attachment;

    Attempt(SlotGrant grant, boolean copy, long grantedAt) {
        this.grant = grant;
        this.hedge = copy;
        this.grantedAtMs = grantedAt;
    }

    boolean isSent() {
        return sentAtMs >= 0;
    }
}
