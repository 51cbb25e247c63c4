package brambletray.platform.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Conversion between text and values of HTTP headers (RFC 9110, 5.5). A value is a string of bytes: each of its
 * characters is one byte, U+0000 to U+00FF. Text is carried as UTF-8.
 */
public final class HeaderText {
    private static final char DELETE = 0x7f;
    private static final char[] HEX_DIGITS = "0123456789ABCDEF".toCharArray();

    private HeaderText() {}

    /**
     * The value that carries this text. Text that no value can carry, since it has control characters or white space at
     * an end, is percent-encoded (RFC 3986, 2.1) from its first to its last character. All other text is carried
     * unchanged, so the value of an encoded text is also that of the text that was written in this way.
     */
    public static String encode(String text) {
        if (isPrintableAscii(text) && !hasOuterWhiteSpace(text)) {
            return text;
        }
        return isCarriedUnchanged(text)
                ? new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1)
                : percentEncode(text);
    }

    /** Whether {@link #encode} leaves the text as it is, apart from its encoding as UTF-8. */
    public static boolean isCarriedUnchanged(String text) {
        return !hasOuterWhiteSpace(text) && text.chars().noneMatch(c -> c < ' ' && c != '\t' || c == DELETE);
    }

    /** The text that a value carries: read as UTF-8, or as ISO-8859-1 if it is not valid UTF-8. */
    public static String decode(String value) {
        if (isPrintableAscii(value)) {
            return value;
        }
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException notUtf8) {
            return value;
        }
    }

    private static boolean isPrintableAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' || c >= DELETE) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasOuterWhiteSpace(String text) {
        return !text.isEmpty() && (isWhiteSpace(text.charAt(0)) || isWhiteSpace(text.charAt(text.length() - 1)));
    }

    private static boolean isWhiteSpace(char c) {
        return c == ' ' || c == '\t';
    }

    private static String percentEncode(String text) {
        StringBuilder encoded = new StringBuilder();
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            if (b > ' ' && b < DELETE && b != '%') {
                encoded.append((char) b);
            } else {
                encoded.append('%').append(HEX_DIGITS[b >> 4 & 15]).append(HEX_DIGITS[b & 15]);
            }
        }
        return encoded.toString();
    }
}
