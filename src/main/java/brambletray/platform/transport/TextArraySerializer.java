package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;

/** Arrays of text. */
final class TextArraySerializer extends Serializer<String[]> {
    @Override
    public void write(Kryo kryo, Output out, String[] texts) {
        out.writeVarInt(texts.length, true);
        for (String text : texts) {
            TextSerializer.TEXT.write(kryo, out, text);
        }
    }

    @Override
    public String[] read(Kryo kryo, Input in, Class<? extends String[]> type) {
        int size = in.readVarInt(true);
        if (size < 0 || size > in.limit() - in.position()) {
            throw new KryoException(size + " texts do not fit their frame");
        }
        String[] texts = new String[size];
        for (int i = 0; i < size; i++) {
            texts[i] = TextSerializer.TEXT.read(kryo, in, String.class);
        }
        return texts;
    }
}
