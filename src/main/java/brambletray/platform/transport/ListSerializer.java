package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Lists of any make; they are read as lists that cannot be changed. Each element takes a byte at least, which bounds
 * what a length may say.
 */
final class ListSerializer extends Serializer<List<?>> {
    @Override
    public void write(Kryo kryo, Output out, List<?> list) {
        out.writeVarInt(list.size(), true);
        for (Object element : list) {
            kryo.writeClassAndObject(out, element);
        }
    }

    @Override
    public List<?> read(Kryo kryo, Input in, Class<? extends List<?>> type) {
        int size = in.readVarInt(true);
        if (size < 0 || size > in.limit() - in.position()) {
            throw new KryoException("a list of " + size + " elements does not fit its frame");
        }
        List<Object> list = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            list.add(kryo.readClassAndObject(in));
        }
        return Collections.unmodifiableList(list);
    }
}
