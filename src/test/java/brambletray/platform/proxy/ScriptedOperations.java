package brambletray.platform.proxy;

import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.operations.OperationKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;

/** The operation gate of a {@link Timeline}: records claims and how they end. */
final class ScriptedOperations extends Actor implements OperationGate {
    private final ArrayDeque<Listener> waiting = new ArrayDeque<>();
    private Progress progress = Progress.NOT_CLAIMED;
    private boolean usable = true;
    private int activeClaims;

    @Override
    public void claim(OperationIdentity operation, int maxWaitMs, Listener listener) {
        waiting.add(listener);
        sees("claim " + (operation.names().byTenant().equals(OperationKey.of("", "k1")) ? "k1" : "other") + " for "
                + maxWaitMs);
    }

    @Override
    public Progress cancel(Listener listener) {
        sees(waiting.remove(listener) ? "cancelled" : "cancelled twice");
        return progress;
    }

    private final class Granted implements OperationClaim {
        @Override
        public boolean isUsable() {
            return usable;
        }

        @Override
        public void complete(RecordedAnswer answer) {
            ended("done " + answer.status() + " " + new String(answer.body(), StandardCharsets.ISO_8859_1)
                    + (answer.headers().contains("Brambletray-Response-Seal") ? " sealed" : ""));
        }

        @Override
        public void release() {
            ended("released");
        }

        @Override
        public void abandon() {
            ended("abandoned");
        }

        private void ended(String how) {
            activeClaims--;
            sees(how);
        }
    }

    /** Number of claims that are pending, or granted and not ended. */
    int openCount() {
        return waiting.size() + activeClaims;
    }

    @Override
    boolean act(String[] words) {
        switch (words[0]) {
            case "grants" -> {
                activeClaims++;
                waiting.remove().onClaimed(new Granted());
            }
            case "repeats" ->
                waiting.remove()
                        .onAnswered(new RecordedAnswer(
                                Integer.parseInt(words[1]),
                                "Recorded",
                                List.of("Brambletray-Attempt-Id", "r0", "Brambletray-Response-Seal", "s"),
                                words[2].getBytes(StandardCharsets.ISO_8859_1)));
            case "lost" -> waiting.remove().onUnknown();
            case "refuses" -> waiting.remove().onUnavailable(Integer.parseInt(words[1]));
            case "in-work" -> progress = Progress.IN_PROGRESS;
            case "unheard" -> progress = Progress.UNKNOWN;
            case "outdated" -> usable = false;
            default -> {
                return false;
            }
        }
        return true;
    }
}
