package brambletray.tray.creed;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A change as it goes through the order: format, verb, base and body. */
record Change(Verb verb, long base, byte[] body) {
    private static final byte FORMAT = 1;
    private static final int HEAD = 10;

    byte[] bytes() {
        return ByteBuffer.allocate(HEAD + body.length)
                .put(FORMAT)
                .put((byte) verb.ordinal())
                .putLong(base)
                .put(body)
                .array();
    }

    static Change from(byte[] bytes) {
        if (bytes.length < HEAD || bytes[0] != FORMAT || bytes[1] < 0 || bytes[1] >= Verb.values().length) {
            throw new CreedFault("bad-change", "", "expected a change of format " + FORMAT);
        }
        return new Change(
                Verb.values()[bytes[1]],
                ByteBuffer.wrap(bytes).getLong(2),
                Arrays.copyOfRange(bytes, HEAD, bytes.length));
    }

    /** What becomes of this configuration, which has to be the base. */
    Creed on(Creed creed) {
        if (creed.revision() != base) {
            throw new CreedFault(
                    "stale",
                    "Brambletray-Base-Revision",
                    "expected " + creed.revision() + ", which is current, found " + base);
        }
        return verb == Verb.REPLACE ? Creed.read(body).after(creed) : creed.modify(body);
    }
}
