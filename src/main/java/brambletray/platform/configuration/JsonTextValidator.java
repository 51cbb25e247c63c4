package brambletray.platform.configuration;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * Validates the bytes of a JSON body before it is parsed: the JSON library accepts more than the standard allows, and
 * recurses as deep as the body is nested.
 */
final class JsonTextValidator {
    /** Objects and lists inside each other. */
    static final int MAX_DEPTH = 64;

    private JsonTextValidator() {}

    static void validate(byte[] body) {
        boolean high = false;
        boolean quoted = false;
        int depth = 0;
        for (int i = 0; i < body.length; i++) {
            byte b = body[i];
            if (quoted) {
                if (b == '"') {
                    quoted = false;
                } else if (b == '\\') {
                    i++;
                } else if (b >= 0 && b < ' ') {
                    throw unreadable("a control character in a text", i);
                }
                high |= b < 0 || i < body.length && body[i] < 0;
            } else if (b == '"') {
                quoted = true;
            } else if (b == '{' || b == '[') {
                if (++depth > MAX_DEPTH) {
                    throw new ConfigurationException(
                            "too-deep", "", "expected at most " + MAX_DEPTH + " levels, found more at byte " + i);
                }
            } else if (b == '}' || b == ']') {
                depth--;
            } else if (b < ' ' && b != '\n' && b != '\r' && b != '\t') {
                throw unreadable("a byte that is no JSON", i);
            }
        }
        if (quoted || depth != 0) {
            throw unreadable("its end too early or too late", body.length);
        }
        if (high) {
            requireUtf8(body);
        }
    }

    private static void requireUtf8(byte[] body) {
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(body);
        CharBuffer sink = CharBuffer.allocate(4_096);
        CoderResult result;
        do {
            sink.clear();
            result = decoder.decode(in, sink, true);
            if (result.isError()) {
                throw unreadable("what isn't UTF-8", in.position());
            }
        } while (result.isOverflow());
    }

    /**
     * A number as JSON writes it: the library takes {@code +1}, {@code 05.1} and {@code 1.}, too, and they would be
     * shown as they came.
     */
    static void validateNumber(byte[] body, int from, int to) {
        int position = body[from] == '-' ? from + 1 : from;
        int digitsEnd = skipDigits(body, position, to);
        boolean good = digitsEnd == position + 1 || digitsEnd > position && body[position] != '0';
        position = digitsEnd;
        if (good && position < to && body[position] == '.') {
            int end = skipDigits(body, position + 1, to);
            good = end > position + 1;
            position = end;
        }
        if (good && position < to && (body[position] | ' ') == 'e') {
            position++;
            position += position < to && (body[position] == '+' || body[position] == '-') ? 1 : 0;
            int end = skipDigits(body, position, to);
            good = end > position;
            position = end;
        }
        if (!good || position != to) {
            throw unreadable("a number that is none", from);
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
