package brambletray.platform.replication;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** A hash of all that an object holds, to know a state again that has been reached another way. */
final class Fingerprint {
    private static final Map<Class<?>, Field[]> FIELDS = new HashMap<>();
    private static final long PRIME = 0x100000001b3L;

    private final IdentityHashMap<Object, Integer> visited = new IdentityHashMap<>();
    private long a = 0xcbf29ce484222325L;
    private long b = 0x9e3779b97f4a7c15L;

    /** Two hashes in one word would collide too often for millions of states: this is one of 128 bits. */
    record Hash128(long a, long b) {}

    static Hash128 of(Object... objects) {
        Fingerprint print = new Fingerprint();
        for (Object object : objects) {
            print.visit(object);
        }
        return new Hash128(print.a, print.b);
    }

    private void add(long value) {
        a = (a ^ value) * PRIME;
        a ^= a >>> 29;
        b = (b + value) * 0xff51afd7ed558ccdL;
        b ^= b >>> 32;
    }

    private void visit(Object object) {
        if (object == null) {
            add(1);
            return;
        }
        Class<?> type = object.getClass();
        if (object instanceof Number number) {
            add(number.longValue());
        } else if (object instanceof Boolean yes) {
            add(yes ? 3 : 2);
        } else if (object instanceof CharSequence || object instanceof Enum) {
            add(object.toString().hashCode());
        } else if (object instanceof byte[] bytes) {
            add(java.util.Arrays.hashCode(bytes));
        } else if (object instanceof ReplicationActions || object instanceof StateMachine || object instanceof Class) {
            add(4);
        } else {
            Integer at = visited.putIfAbsent(object, visited.size());
            if (at != null) {
                add(1000 + at);
            } else {
                visitContents(object, type);
            }
        }
    }

    private void visitContents(Object object, Class<?> type) {
        add(type.isHidden() ? 5 : type.getName().hashCode());
        if (object instanceof Collection<?> all) {
            add(all.size());
            all.forEach(this::visit);
        } else if (object instanceof Map<?, ?> map) {
            add(map.size());
            map.forEach((key, value) -> {
                visit(key);
                visit(value);
            });
        } else if (type.isArray()) {
            for (int i = 0; i < Array.getLength(object); i++) {
                visit(Array.get(object, i));
            }
        } else {
            for (Field field : FIELDS.computeIfAbsent(type, Fingerprint::fields)) {
                try {
                    visit(field.get(object));
                } catch (IllegalAccessException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private static Field[] fields(Class<?> type) {
        List<Field> all = new ArrayList<>();
        for (Class<?> at = type; at != null && at != Object.class; at = at.getSuperclass()) {
            for (Field field : at.getDeclaredFields()) {
                if (Modifier.isStatic(field.getModifiers())) {
                    continue;
                }
                field.setAccessible(true);
                all.add(field);
            }
        }
        return all.toArray(new Field[0]);
    }
}
