package brambletray.platform.controlplane;

import brambletray.platform.operations.ClaimRelease;
import brambletray.platform.operations.ClaimRequest;

/** Takes what edges want of operations. For the event loop only. */
interface ClaimHandler {
    void onClaim(String edge, ClaimRequest request);

    /** Never refused: an edge sends as many releases as it has drawn claims. */
    void onRelease(String edge, ClaimRelease request);
}
