package brambletray.platform.transport;

import com.esotericsoftware.kryo.Kryo;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** The classes of frames: registers them in the order of their first mention, and hashes how they are laid out. */
final class FrameRegistry {
    private static final long PRIME = 0x100000001b3L;
    private static final long BASIS = 0xcbf29ce484222325L;

    private final Kryo kryo;
    private final Set<Class<?>> registered = new LinkedHashSet<>();
    private long hash = BASIS;

    FrameRegistry(Kryo kryo) {
        this.kryo = kryo;
        ListSerializer lists = new ListSerializer();
        kryo.register(byte[].class, new ByteArraySerializer());
        kryo.register(String.class, TextSerializer.TEXT);
        kryo.register(String[].class, new TextArraySerializer());
        kryo.register(ArrayList.class, lists);
        for (List<?> made : List.of(
                List.of(),
                List.of(1),
                List.of(1, 2, 3),
                Collections.emptyList(),
                Collections.singletonList(1),
                Collections.unmodifiableList(new ArrayList<>()),
                new ArrayList<>(List.of(1)).subList(0, 1),
                Arrays.asList(1, 2),
                Stream.of(1).toList())) {
            if (registered.add(made.getClass())) {
                kryo.register(made.getClass(), lists);
            }
        }
    }

    /** Registers a class, after those that its components name; of a sealed type all that it permits. */
    void add(Class<?> type) {
        if (type.isPrimitive() || type.isArray() || type.getName().startsWith("java.") || !registered.add(type)) {
            return;
        }
        if (type.isRecord()) {
            for (RecordComponent part : type.getRecordComponents()) {
                named(part.getGenericType());
            }
            kryo.register(type, new RecordSerializer<>(type));
        } else if (type.isSealed()) {
            for (Class<?> one : type.getPermittedSubclasses()) {
                add(one);
            }
        } else {
            kryo.register(type);
        }
        mix(type.getName());
        if (type.isRecord()) {
            for (RecordComponent part : type.getRecordComponents()) {
                mix(part.getName());
                mix(part.getGenericType().getTypeName());
            }
        } else if (type.isEnum()) {
            for (Object constant : type.getEnumConstants()) {
                mix(((Enum<?>) constant).name());
            }
        }
    }

    long fingerprint() {
        return hash;
    }

    private void named(Type type) {
        if (type instanceof Class<?> plain) {
            add(plain);
        } else if (type instanceof ParameterizedType many) {
            for (Type part : many.getActualTypeArguments()) {
                named(part);
            }
        }
    }

    private void mix(String text) {
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        hash = (hash ^ '\n') * PRIME;
    }
}
