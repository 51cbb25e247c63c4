package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/** Bytes, or null; no more are made room for than the frame has. */
final class ByteArraySerializer extends Serializer<byte[]> {
    ByteArraySerializer() {
        super(true, false);
    }

    @Override
    public void write(Kryo kryo, Output out, byte[] bytes) {
        out.writeVarInt(bytes == null ? 0 : bytes.length + 1, true);
        if (bytes != null) {
            out.writeBytes(bytes);
        }
    }

    @Override
    public byte[] read(Kryo kryo, Input in, Class<? extends byte[]> type) {
        int length = in.readVarInt(true) - 1;
        if (length == -1) {
            return null;
        }
        if (length < 0 || length > in.limit() - in.position()) {
            throw new KryoException(length + " bytes do not fit their frame");
        }
        return in.readBytes(length);
    }
}
