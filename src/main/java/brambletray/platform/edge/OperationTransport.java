package brambletray.platform.edge;

import brambletray.platform.operations.ResultResponse;

/** How an {@link OperationClient} reaches the coordinator and other edges, and when it is called again. */
interface OperationTransport extends ClaimClient.Transport, ResultQueries.Transport {
    /** Name of this edge. */
    String self();

    /** Answers an edge on the link on which it calls. */
    void respondToEdge(String edge, ResultResponse response);
}
