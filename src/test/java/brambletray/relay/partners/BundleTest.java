package brambletray.relay.partners;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.relay.emulator.Call;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class BundleTest {
    private static List<Bundle.Part> read(String body) {
        return Bundle.read(body.getBytes(StandardCharsets.UTF_8));
    }

    /** What cannot be read, names a message twice, or is cut anywhere runs in no part. */
    @Test
    void aCallIsReadWholeOrNotAtAll() {
        String body = "[{\"id\":\"a\",\"key\":\"k\",\"body\":\"aGk=\"},{\"id\":\"b\",\"more\":{\"id\":\"x\"}}]";
        assertEquals(List.of(new Bundle.Part("a", "k"), new Bundle.Part("b", null)), read(body));
        for (int cut = 0; cut < body.length(); cut++) {
            assertEquals(List.of(), read(body.substring(0, cut)), "cut at " + cut);
        }
        assertEquals(List.of(), read("[{\"id\":\"a\"},{\"id\":\"a\"}]"));
        assertEquals(List.of(), read("[{\"key\":\"a\"}]"));
        assertEquals(List.of(), read(body + "[]"));
    }

    @Test
    void theAnswerNamesEachMessage() {
        Call call = new Call("relay", "a", null, true);
        call.together(List.of(new Call("relay", "b", null, true)));
        assertEquals(
                "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}]",
                Bundle.accepted(call).toString(StandardCharsets.UTF_8));
    }
}
