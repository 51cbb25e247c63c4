package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;

/**
 * A package with a faulty step planted in its sources, this one unless another is named, compiled in memory and loaded
 * beside the sound one: so no production class needs a switch for its own faults. A step is found by its text, which
 * must be there exactly once: who changes the line is told to look at the fault too.
 */
public final class Mutant extends ClassLoader {
    private static final Path SOURCES = Path.of("src/main/java");

    /** The package that is loaded anew, with its dot. */
    private final String prefix;

    private final Map<String, byte[]> recompiledClasses;

    private Mutant(String prefix, Map<String, byte[]> changed) {
        super(Mutant.class.getClassLoader());
        this.prefix = prefix;
        this.recompiledClasses = changed;
    }

    /**
     * {@code edits}: of a class of this package by its simple name: what is there, and what stands there instead, in
     * threes.
     */
    static Mutant of(String... edits) {
        return ofPackageOf(Mutant.class, edits);
    }

    /** The same for the package of another class. */
    public static Mutant ofPackageOf(Class<?> neighbour, String... edits) {
        String prefix = neighbour.getPackageName() + ".";
        Map<String, String> sources = new HashMap<>();
        for (int i = 0; i < edits.length; i += 3) {
            String name = edits[i];
            String source = sources.computeIfAbsent(name, simple -> source(prefix + simple));
            String there = edits[i + 1];
            assertEquals(
                    1,
                    (source.length() - source.replace(there, "").length()) / there.length(),
                    "times in " + name + ": " + there);
            sources.put(name, source.replace(there, edits[i + 2]));
        }
        return new Mutant(prefix, sources.isEmpty() ? Map.of() : compile(sources));
    }

    private static String source(String name) {
        try {
            return Files.readString(SOURCES.resolve(name.replace('.', '/') + ".java"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, byte[]> compile(Map<String, String> sources) {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        Map<String, ByteArrayOutputStream> made = new HashMap<>();
        JavaFileManager files =
                new ForwardingJavaFileManager<JavaFileManager>(compiler.getStandardFileManager(null, null, null)) {
                    @Override
                    public JavaFileObject getJavaFileForOutput(
                            Location at, String type, JavaFileObject.Kind kind, javax.tools.FileObject sibling) {
                        return new SimpleJavaFileObject(
                                URI.create("memory:///" + type.replace('.', '/') + ".class"), kind) {
                            @Override
                            public OutputStream openOutputStream() {
                                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                                made.put(type, bytes);
                                return bytes;
                            }
                        };
                    }
                };
        List<JavaFileObject> units = new ArrayList<>();
        sources.forEach((name, text) -> units.add(
                new SimpleJavaFileObject(URI.create("memory:///" + name + ".java"), JavaFileObject.Kind.SOURCE) {
                    @Override
                    public CharSequence getCharContent(boolean ignoreEncodingErrors) {
                        return text;
                    }
                }));
        StringBuilder errors = new StringBuilder();
        boolean done = compiler.getTask(
                        null,
                        files,
                        notified -> errors.append(notified).append('\n'),
                        List.of("-proc:none", "-classpath", System.getProperty("java.class.path")),
                        null,
                        units)
                .call();
        assertEquals(true, done, errors.toString());
        Map<String, byte[]> classes = new HashMap<>();
        made.forEach((type, bytes) -> classes.put(type, bytes.toByteArray()));
        return classes;
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        // The whole package, tests included: two loaders' classes of one package do not see each other.
        if (!name.startsWith(prefix)) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : define(name);
        }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
        byte[] bytes = recompiledClasses.get(name);
        if (bytes == null) {
            try (InputStream in = getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
                if (in == null) {
                    throw new ClassNotFoundException(name);
                }
                bytes = in.readAllBytes();
            } catch (IOException e) {
                throw new ClassNotFoundException(name, e);
            }
        }
        return defineClass(name, bytes, 0, bytes.length);
    }

    /**
     * Runs one method of a test, on a new instance, after its {@code open} if it has one; what it asserts in vain, or
     * null.
     */
    public String failureOf(Class<?> test, String method) {
        try {
            Class<?> loaded = loadClass(test.getName());
            Constructor<?> constructor = loaded.getDeclaredConstructor();
            constructor.setAccessible(true);
            Object instance = constructor.newInstance();
            if (hasOpen(loaded)) {
                run(loaded, "open", instance);
            }
            run(loaded, method, instance);
            return null;
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof AssertionError failed) {
                return String.valueOf(failed.getMessage());
            }
            throw new IllegalStateException(e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean hasOpen(Class<?> type) {
        return Arrays.stream(type.getDeclaredMethods())
                .anyMatch(method -> method.getName().equals("open"));
    }

    private static void run(Class<?> type, String method, Object on) throws ReflectiveOperationException {
        Method found = type.getDeclaredMethod(method);
        found.setAccessible(true);
        found.invoke(on);
    }

    /** What {@link RandomExchanges#hunt} finds in it, or null. */
    String hunt(String rules, long from, int scenarios, int steps) {
        try {
            Method hunt = loadClass(RandomExchanges.class.getName())
                    .getDeclaredMethod("hunt", String.class, long.class, int.class, int.class);
            hunt.setAccessible(true);
            return (String) hunt.invoke(null, rules, from, scenarios, steps);
        } catch (ClassNotFoundException | NoSuchMethodException | IllegalAccessException e) {
            throw new IllegalStateException(e);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException(e.getCause());
        }
    }
}
