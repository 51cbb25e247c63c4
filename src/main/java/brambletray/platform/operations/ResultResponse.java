package brambletray.platform.operations;

import java.util.List;

/**
 * The state of a claim and, once its request is answered, the result.
 *
 * @param queryId id of the query, which is unique within one process of the edge that asked
 * @param holder the claim that the query named
 * @param status HTTP status of the answer, 0 unless {@link OperationState#DONE}
 * @param headers names and values, alternating
 */
public record ResultResponse(
        long queryId,
        ClaimId holder,
        OperationState state,
        int status,
        String reason,
        List<String> headers,
        byte[] body) {}
