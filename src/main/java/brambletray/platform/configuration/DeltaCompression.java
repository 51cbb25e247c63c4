package brambletray.platform.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Deflates deltas for slow and expensive links: a full configuration shrinks to about a tenth. */
final class DeltaCompression {
    private DeltaCompression() {}

    /** Bytes unpacked: twice the largest configuration, as names and lengths come on top of an entry's own bytes. */
    private static final int MAX_DECOMPRESSED_BYTES = 2 * ConfigurationJson.MAX_BODY_BYTES;

    static byte[] compress(byte[] json) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(json);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(1 + json.length / 8);
            byte[] part = new byte[8_192];
            while (!deflater.finished()) {
                out.write(part, 0, deflater.deflate(part));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    static byte[] decompress(byte[] packed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed);
            ByteArrayOutputStream out = new ByteArrayOutputStream(
                    Math.min(MAX_DECOMPRESSED_BYTES, 8 * Math.min(packed.length, MAX_DECOMPRESSED_BYTES)));
            byte[] part = new byte[8_192];
            while (!inflater.finished()) {
                int count = inflater.inflate(part);
                out.write(part, 0, count);
                if (count == 0 && !inflater.finished() || out.size() > MAX_DECOMPRESSED_BYTES) {
                    throw new ConfigurationException(
                            "bad-packing", "", "expected a complete configuration, compressed");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new ConfigurationException("bad-packing", "", "expected a complete configuration, compressed", e);
        } finally {
            inflater.end();
        }
    }
}
