package brambletray.platform.configuration;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Validates the bytes of a JSON body before it is parsed, because the JSON library accepts more than the standard
 * allows and recurses as deep as the body is nested.
 */
final class JsonTextValidator {
    /** Maximum nesting depth of objects and lists. */
    static final int MAX_DEPTH = 64;

    private static final int UNICODE_ESCAPE_BYTES = "\\u0000".length();

    private JsonTextValidator() {}

    static void validate(byte[] body) {
        boolean hasNonAscii = false;
        boolean inString = false;
        int depth = 0;
        for (int i = 0; i < body.length; i++) {
            byte b = body[i];
            if (inString) {
                if (b == '"') {
                    inString = false;
                } else if (b == '\\') {
                    i++;
                } else if (b >= 0 && b < ' ') {
                    throw unreadable("a control character in a string", i);
                }
                hasNonAscii |= b < 0 || i < body.length && body[i] < 0;
            } else if (b == '"') {
                inString = true;
            } else if (b == '{' || b == '[') {
                if (++depth > MAX_DEPTH) {
                    throw new ConfigurationException(
                            "too-deep", "", "expected at most " + MAX_DEPTH + " levels, found more at byte " + i);
                }
            } else if (b == '}' || b == ']') {
                depth--;
            } else if (b < ' ' && b != '\n' && b != '\r' && b != '\t') {
                throw unreadable("an invalid byte", i);
            }
        }
        if (inString || depth != 0) {
            throw unreadable("an unterminated string or unbalanced brackets", body.length);
        }
        if (hasNonAscii) {
            requireUtf8(body);
        }
    }

    /**
     * Checks that each escaped half of a surrogate pair is next to the other half. Text with an unpaired one has no
     * UTF-8 form, so two names that differ in it alone would become one name on the way to an edge. The body has passed
     * {@link #validate}.
     */
    static void requirePairedSurrogates(byte[] body) {
        boolean isHighPending = false;
        for (int i = 0; i < body.length; i++) {
            boolean isEscape = body[i] == '\\';
            char escaped = isEscape ? escapedUnit(body, i) : 0;
            if (isHighPending != Character.isLowSurrogate(escaped)) {
                throw unreadable("an unpaired surrogate", i);
            }
            isHighPending = Character.isHighSurrogate(escaped);
            if (isEscape) {
                i += body[i + 1] == 'u' ? UNICODE_ESCAPE_BYTES - 1 : 1;
            }
        }
    }

    /** The UTF-16 unit of a Unicode escape at this position; 0 for any other escape. */
    private static char escapedUnit(byte[] body, int at) {
        int unit = 0;
        if (body[at + 1] == 'u') {
            for (int i = at + 2; i < at + UNICODE_ESCAPE_BYTES; i++) {
                unit = unit << 4 | Character.digit(body[i], 16);
            }
        }
        return (char) unit;
    }

    private static void requireUtf8(byte[] body) {
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(body);
        CharBuffer decoded = CharBuffer.allocate(4_096);
        CoderResult result;
        do {
            decoded.clear();
            result = decoder.decode(in, decoded, true);
            if (result.isError()) {
                throw unreadable("invalid UTF-8", in.position());
            }
        } while (result.isOverflow());
    }

    /**
     * Checks a number against the JSON grammar. The library also accepts {@code +1}, {@code 05.1} and {@code 1.}, which
     * would then be returned unchanged as part of the configuration.
     */
    static void validateNumber(byte[] body, int from, int to) {
        int position = body[from] == '-' ? from + 1 : from;
        int digitsEnd = skipDigits(body, position, to);
        boolean valid = digitsEnd == position + 1 || digitsEnd > position && body[position] != '0';
        position = digitsEnd;
        if (valid && position < to && body[position] == '.') {
            int end = skipDigits(body, position + 1, to);
            valid = end > position + 1;
            position = end;
        }
        if (valid && position < to && (body[position] | ' ') == 'e') {
            position++;
            position += position < to && (body[position] == '+' || body[position] == '-') ? 1 : 0;
            int end = skipDigits(body, position, to);
            valid = end > position;
            position = end;
        }
        if (!valid || position != to) {
            throw unreadable("a malformed number", from);
        }
    }

    private static int skipDigits(byte[] body, int from, int to) {
        int position = from;
        while (position < to && body[position] >= '0' && body[position] <= '9') {
            position++;
        }
        return position;
    }

    private static ConfigurationException unreadable(String found, int position) {
        return new ConfigurationException(
                "unreadable", "", "expected whole JSON, found " + found + " at byte " + position);
    }
}
