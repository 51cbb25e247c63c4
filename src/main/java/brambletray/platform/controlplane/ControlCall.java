package brambletray.platform.controlplane;

import java.util.Map;

/** One call from outside, and its answer, given once. {@code base}: Brambletray-Base-Revision as it came, or null. */
record ControlCall(String method, String path, String baseRevision, byte[] body, Responder responder) {
    /** Gives the answer; a second one is dropped. */
    interface Responder {
        /** {@code headers}: further ones; {@code json}: the body, or null. */
        void respond(int status, byte[] json, Map<String, String> headers);
    }

    void respond(int status, byte[] json) {
        responder.respond(status, json, Map.of());
    }

    /** A refusal whose body names the code and the reason. */
    void reject(int status, String code, String reason) {
        responder.respond(
                status, ErrorBodies.json(code, reason), status == 503 ? Map.of("Retry-After", "0.2") : Map.of());
    }
}
