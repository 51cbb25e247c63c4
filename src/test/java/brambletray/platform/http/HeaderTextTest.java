package brambletray.platform.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Text as the value of a header. */
class HeaderTextTest {
    private static String utf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    @Test
    void textIsCarriedAsUtf8() {
        for (String text : List.of("acme", "50% off", "a%41", "a\tb", "Cần Thơ", "é", "\ud83d\ude00", "")) {
            assertEquals(utf8(text), HeaderText.encode(text));
            assertEquals(text, HeaderText.decode(HeaderText.encode(text)));
        }
    }

    @Test
    void textThatNoHeaderCarriesIsPercentEncoded() {
        assertEquals("a%0D%0AX:%201", HeaderText.encode("a\r\nX: 1"));
        assertEquals("%20acme", HeaderText.encode(" acme"));
        assertEquals("C%E1%BA%A7n%09", HeaderText.encode("Cần\t"));
        assertEquals("%0050%25", HeaderText.encode("\00050%"));
        assertEquals("%7F", HeaderText.encode("\u007f"));
        assertEquals("%20", HeaderText.encode(" "));
    }

    @Test
    void valueThatIsNotUtf8IsReadAsLatin1() {
        assertEquals("é", HeaderText.decode("é"));
        assertEquals("Cần", HeaderText.decode(utf8("Cần")));
    }

    /** Values fit into one header line, are distinct unless one was written encoded, and can be read back. */
    @Test
    void randomTextsKeepApart() {
        Random random = new Random(1);
        String alphabet = "ab% \t\r\n\0\u007f\u0085\u00a0éầ\ud83d%0D\u3000";
        Map<String, String> texts = new HashMap<>();
        for (int i = 0; i < 200_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int length = 1 + random.nextInt(4); length > 0; length--) {
                char c = alphabet.charAt(random.nextInt(alphabet.length()));
                text.append(c == '\ud83d' ? "\ud83d\ude00" : String.valueOf(c));
            }
            String value = HeaderText.encode(text.toString());
            assertTrue(value.chars().allMatch(c -> c >= ' ' && c != 0x7f && c <= 0xff || c == '\t'), value);
            assertEquals(value, value.replaceAll("^[ \t]+|[ \t]+$", ""));
            if (HeaderText.isCarriedUnchanged(text.toString())) {
                assertEquals(text.toString(), HeaderText.decode(value));
            } else {
                assertEquals(text.toString(), URLDecoder.decode(value.replace("+", "%2B"), StandardCharsets.UTF_8));
                String other = texts.put(value, text.toString());
                assertTrue(other == null || other.equals(text.toString()), value);
            }
        }
        assertNull(texts.get("acme"));
    }
}
