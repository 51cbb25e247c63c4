package brambletray.relay.message;

import java.io.IOException;
import java.util.Arrays;

/** The bytes of a message, in memory or where they last; not changed by whoever gets them. */
public interface Body {
    /** Its bytes; may be read from a file. */
    byte[] bytes() throws IOException;

    int length();

    /** A body in memory. */
    static Body of(byte[] bytes) {
        return new Body() {
            @Override
            public byte[] bytes() {
                return bytes;
            }

            @Override
            public int length() {
                return bytes.length;
            }
        };
    }

    /** True when both can be read and are alike. */
    static boolean same(Body one, Body other) {
        try {
            return one.length() == other.length() && Arrays.equals(one.bytes(), other.bytes());
        } catch (IOException e) {
            return false;
        }
    }
}
