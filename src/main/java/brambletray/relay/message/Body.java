package brambletray.relay.message;

import java.io.IOException;
import java.util.Arrays;

/** The payload of a message, in memory or in a file; callers must not modify the bytes. */
public interface Body {
    /** Returns the bytes; may read them from a file. */
    byte[] bytes() throws IOException;

    int length();

    /** Creates an in-memory body that wraps the array. */
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

    /** Whether both bodies can be read and have the same content. */
    static boolean same(Body one, Body other) {
        try {
            return one.length() == other.length() && Arrays.equals(one.bytes(), other.bytes());
        } catch (IOException e) {
            return false;
        }
    }
}
