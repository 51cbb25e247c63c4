package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.provisioning.CallResult;
import brambletray.platform.provisioning.PlatformClient;
import brambletray.platform.provisioning.StartResponse;
import java.util.function.Consumer;

/**
 * Starts and stops instances only while the coordinator's term may act, and reports a call that the platform has
 * refused under it (fencing token). Answers come on the event loop.
 */
final class FencedPlatformClient {
    private final Machine machine;
    private final PlatformClient platform;
    private final long term;
    private final EdgeCoordinator.Authority authority;

    FencedPlatformClient(Machine machine, PlatformClient platform, long term, EdgeCoordinator.Authority authority) {
        this.machine = machine;
        this.platform = platform;
        this.term = term;
        this.authority = authority;
    }

    /** Starts an instance; {@link CallResult#UNKNOWN} without a call while the term may not act. */
    void start(String service, String worker, String nonce, Consumer<StartResponse> onAnswered) {
        if (!authority.mayAct()) {
            machine.loop().execute(() -> onAnswered.accept(StartResponse.of(CallResult.UNKNOWN)));
            return;
        }
        platform.begin(service, worker, nonce, response -> {
            reportIfFenced(response.result());
            onAnswered.accept(response);
        });
    }

    /** Stops an instance; {@link CallResult#UNKNOWN} without a call while the term may not act. */
    void stop(String id, Consumer<CallResult> onAnswered) {
        if (!authority.mayAct()) {
            machine.loop().execute(() -> onAnswered.accept(CallResult.UNKNOWN));
            return;
        }
        platform.stop(id, result -> {
            reportIfFenced(result);
            onAnswered.accept(result);
        });
    }

    private void reportIfFenced(CallResult result) {
        if (result == CallResult.FENCED) {
            authority.onFenced(term);
        }
    }
}
