package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

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
 * A package with faults planted in its sources, compiled in memory and loaded beside the original, so that production
 * classes need no switches for faults. The code to replace is found by its text, which must occur exactly once: a
 * change to that line makes the mutation fail until it is updated too.
 */
public final class Mutant extends ClassLoader {
    private static final int MAX_SHOWN = 160;
    private static final Path SOURCES = Path.of("src/main/java");

    /** Name of the reloaded package, with a trailing dot. */
    private final String prefix;

    private final Map<String, byte[]> recompiledClasses;

    private Mutant(String prefix, Map<String, byte[]> recompiledClasses) {
        super(Mutant.class.getClassLoader());
        this.prefix = prefix;
        this.recompiledClasses = recompiledClasses;
    }

    /**
     * Mutates classes of this package. {@code edits}: groups of three: simple name of the class, original text,
     * replacement.
     */
    static Mutant of(String... edits) {
        return ofPackageOf(Mutant.class, edits);
    }

    /** Mutates classes of the package of {@code member}; {@code edits} as for {@link #of}. */
    public static Mutant ofPackageOf(Class<?> member, String... edits) {
        String prefix = member.getPackageName() + ".";
        Map<String, String> sources = new HashMap<>();
        for (int i = 0; i < edits.length; i += 3) {
            String name = edits[i];
            String source = sources.computeIfAbsent(name, simple -> source(prefix + simple));
            String original = edits[i + 1];
            assertEquals(
                    1,
                    (source.length() - source.replace(original, "").length()) / original.length(),
                    "occurrences in " + name + " of: " + original);
            sources.put(name, source.replace(original, edits[i + 2]));
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
        Map<String, ByteArrayOutputStream> outputs = new HashMap<>();
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
                                outputs.put(type, bytes);
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
        boolean succeeded = compiler.getTask(
                        null,
                        files,
                        diagnostic -> errors.append(diagnostic).append('\n'),
                        List.of("-proc:none", "-classpath", System.getProperty("java.class.path")),
                        null,
                        units)
                .call();
        assertEquals(true, succeeded, errors.toString());
        Map<String, byte[]> classes = new HashMap<>();
        outputs.forEach((type, bytes) -> classes.put(type, bytes.toByteArray()));
        return classes;
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        // Reloads the whole package, tests included: package-private access fails between classes of two loaders.
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
     * Runs one test method on a new instance, after its {@code open} method if it has one. Returns the message of the
     * failed assertion, or null if the test passes.
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

    /**
     * Checks that the test method passes on the package of {@code test} as it is, and fails with the fault planted by
     * these edits. Prints by what the fault was found.
     */
    public static void assertFound(String what, Class<?> test, String method, String... edits) {
        assertNull(ofPackageOf(test).failureOf(test, method), "the test must pass without the fault");
        String found = ofPackageOf(test, edits).failureOf(test, method);
        assertNotNull(found, "fault not detected: " + what);
        String shown = found.replaceAll("[^ -~]", " ");
        System.out.println("planted: " + what + " -> " + shown.substring(0, Math.min(MAX_SHOWN, shown.length())));
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

    /** Runs {@link RandomExchanges#hunt} on the mutated package; the violation found, or null. */
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
