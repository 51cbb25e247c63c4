package brambletray.platform.edge;

import brambletray.platform.operations.ResultResponse;

/** Delivers the frames of an {@link OperationClient} to the coordinator and other edges, and schedules its ticks. */
interface OperationTransport extends ClaimClient.Transport, ResultQueries.Transport {
    /** Name of this edge. */
    String self();

    /** Sends a response to an edge on the link that the edge has dialled. */
    void respondToEdge(String edge, ResultResponse response);
}
