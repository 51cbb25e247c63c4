package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.nio.charset.StandardCharsets;

/** Text as UTF-8, or null. Kryo's own makes room for as many characters as a length says, whatever the frame has. */
final class TextSerializer extends Serializer<String> {
    static final TextSerializer TEXT = new TextSerializer();

    private TextSerializer() {
        super(true, true);
    }

    @Override
    public void write(Kryo kryo, Output out, String text) {
        if (text == null) {
            out.writeVarInt(0, true);
            return;
        }
        byte[] utf = text.getBytes(StandardCharsets.UTF_8);
        out.writeVarInt(utf.length + 1, true);
        out.writeBytes(utf);
    }

    @Override
    public String read(Kryo kryo, Input in, Class<? extends String> type) {
        int length = in.readVarInt(true) - 1;
        if (length == -1) {
            return null;
        }
        int at = in.position();
        if (length < 0 || length > in.limit() - at) {
            throw new KryoException("text of " + length + " bytes does not fit its frame");
        }
        in.setPosition(at + length);
        return new String(in.getBuffer(), at, length, StandardCharsets.UTF_8);
    }
}
