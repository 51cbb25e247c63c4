package brambletray.platform.proxy;

import brambletray.platform.admission.SlotGrant;

/** One attempt to serve a request at one host, from the grant of its slot to the slot's release. */
final class Attempt {
    final SlotGrant grant;
    final boolean hedge;
    final long grantedAtMs;
    /** When the first byte was sent, ms; -1 if nothing was sent, in which case the request cannot have run. */
    long sentAtMs = -1;

    boolean active = true;
    /** Opaque to the state machine; set by the component that carries out the attempt. */
    Object attachment;

    Attempt(SlotGrant grant, boolean hedge, long grantedAtMs) {
        this.grant = grant;
        this.hedge = hedge;
        this.grantedAtMs = grantedAtMs;
    }

    boolean isSent() {
        return sentAtMs >= 0;
    }
}
