package brambletray.platform.controlplane;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;

/** Bodies of refusals: {@code {"error":code,"reason":...}}. */
final class ErrorBodies {
    private ErrorBodies() {}

    static byte[] json(String code, String reason) {
        JsonStringEncoder encoder = JsonStringEncoder.getInstance();
        return ("{\"error\":\"" + new String(encoder.quoteAsString(code)) + "\",\"reason\":\""
                        + new String(encoder.quoteAsString(String.valueOf(reason))) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
