package brambletray.platform.controlplane;

import java.util.Map;

/** One call from outside, and its answer, given once. {@code base}: Brambletray-Base-Revision as it came, or null. */
record ControlCall(String method, String path, String base, byte[] body, Answer answer) {
    /** Gives the answer; a second one is dropped. */
    interface Answer {
        /** {@code headers}: further ones; {@code json}: the body, or null. */
        void give(int status, byte[] json, Map<String, String> headers);
    }

    void give(int status, byte[] json) {
        answer.give(status, json, Map.of());
    }

    /** A refusal whose body names the code and the reason. */
    void refuse(int status, String code, String reason) {
        answer.give(status, ErrorBodies.json(code, reason), status == 503 ? Map.of("Retry-After", "0.2") : Map.of());
    }
}
