package brambletray.platform.operations;

import java.util.List;

/**
 * What became of a claim.
 *
 * @param status of the answer, 0 unless {@link OperationState#DONE}
 * @param headers names and values in turns
 */
public record ResultResponse(
        long queryId, OperationState state, int status, String reason, List<String> headers, byte[] body) {}
