package brambletray.tray.keep;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;

/** Bodies of refusals: {@code {"error":code,"reason":...}}. */
final class Faults {
    private Faults() {}

    static byte[] json(String code, String reason) {
        JsonStringEncoder encoder = JsonStringEncoder.getInstance();
        return ("{\"error\":\"" + new String(encoder.quoteAsString(code)) + "\",\"reason\":\""
                        + new String(encoder.quoteAsString(String.valueOf(reason))) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
