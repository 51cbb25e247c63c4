package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** How a component of one type is written and read. */
interface ComponentCodec {
    void write(Kryo kryo, Output out, Object value);

    Object read(Kryo kryo, Input in);

    /** By the declared type; what it does not know goes with its class, as Kryo has it. */
    static ComponentCodec forType(Type type) {
        if (type == long.class) {
            return new Longs();
        } else if (type == int.class) {
            return new Ints();
        } else if (type == boolean.class) {
            return new Flags();
        } else if (type == double.class) {
            return new Doubles();
        } else if (type == String.class) {
            return new Text();
        } else if (type == byte[].class) {
            return new Bytes();
        } else if (type instanceof Class<?> plain && plain.isEnum()) {
            return new Enums(plain.getEnumConstants());
        } else if (type instanceof Class<?> plain && plain.isRecord()) {
            return new NestedRecord(plain);
        } else if (type instanceof ParameterizedType many && many.getRawType() == List.class) {
            return new Elements(forType(many.getActualTypeArguments()[0]));
        }
        return new RegisteredClass();
    }

    /** Whole numbers, short where they are small. */
    final class Longs implements ComponentCodec {
        @Override
        public void write(Kryo kryo, Output out, Object value) {
            out.writeVarLong((Long) value, false);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return in.readVarLong(false);
        }
    }

    /** The same, of 32 bits. */
    final class Ints implements ComponentCodec {
        @Override
        public void write(Kryo kryo, Output out, Object value) {
            out.writeVarInt((Integer) value, false);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return in.readVarInt(false);
        }
    }

    /** Yes or no. */
    final class Flags implements ComponentCodec {
        @Override
        public void write(Kryo kryo, Output out, Object value) {
            out.writeBoolean((Boolean) value);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return in.readBoolean();
        }
    }

    /** Numbers with fractions. */
    final class Doubles implements ComponentCodec {
        @Override
        public void write(Kryo kryo, Output out, Object value) {
            out.writeDouble((Double) value);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return in.readDouble();
        }
    }

    /** Text, or null. */
    final class Text implements ComponentCodec {
        @Override
        public void write(Kryo kryo, Output out, Object value) {
            TextSerializer.TEXT.write(kryo, out, (String) value);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return TextSerializer.TEXT.read(kryo, in, String.class);
        }
    }

    /** Bytes, or null. */
    final class Bytes implements ComponentCodec {
        private static final ByteArraySerializer BYTES = new ByteArraySerializer();

        @Override
        public void write(Kryo kryo, Output out, Object value) {
            BYTES.write(kryo, out, (byte[]) value);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return BYTES.read(kryo, in, byte[].class);
        }
    }

    /** One of a few, or null. */
    final class Enums implements ComponentCodec {
        private final Object[] constants;

        Enums(Object[] constants) {
            this.constants = constants;
        }

        @Override
        public void write(Kryo kryo, Output out, Object value) {
            out.writeVarInt(value == null ? 0 : ((Enum<?>) value).ordinal() + 1, true);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            int place = in.readVarInt(true);
            if (place < 0 || place > constants.length) {
                throw new KryoException("no constant " + place);
            }
            return place == 0 ? null : constants[place - 1];
        }
    }

    /** A record of this very type, or null. */
    final class NestedRecord implements ComponentCodec {
        private final Class<?> type;

        NestedRecord(Class<?> type) {
            this.type = type;
        }

        @Override
        public void write(Kryo kryo, Output out, Object value) {
            out.writeBoolean(value != null);
            if (value != null) {
                kryo.writeObject(out, value);
            }
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return in.readBoolean() ? kryo.readObject(in, type) : null;
        }
    }

    /** A list, or null. An element takes a byte at least, which bounds what a length may say. */
    final class Elements implements ComponentCodec {
        private final ComponentCodec element;

        Elements(ComponentCodec element) {
            this.element = element;
        }

        @Override
        public void write(Kryo kryo, Output out, Object value) {
            List<?> list = (List<?>) value;
            out.writeVarInt(list == null ? 0 : list.size() + 1, true);
            if (list != null) {
                for (Object one : list) {
                    element.write(kryo, out, one);
                }
            }
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            int size = in.readVarInt(true) - 1;
            if (size == -1) {
                return null;
            }
            if (size < 0 || size > in.limit() - in.position()) {
                throw new KryoException("a list of " + size + " elements does not fit its frame");
            }
            if (size == 0) {
                return List.of();
            }
            List<Object> list = new ArrayList<>(size);
            for (int i = 0; i < size; i++) {
                list.add(element.read(kryo, in));
            }
            return Collections.unmodifiableList(list);
        }
    }

    /** Anything registered, with its class; or null. */
    final class RegisteredClass implements ComponentCodec {
        @Override
        public void write(Kryo kryo, Output out, Object value) {
            kryo.writeClassAndObject(out, value);
        }

        @Override
        public Object read(Kryo kryo, Input in) {
            return kryo.readClassAndObject(in);
        }
    }
}
