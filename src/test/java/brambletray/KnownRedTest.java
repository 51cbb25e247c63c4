package brambletray;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The build passes over the tests that KNOWN-RED.txt lists, and over no other. */
class KnownRedTest {
    private static final Pattern LISTED = Pattern.compile("^(\\w+Test\\.\\w+) \\|", Pattern.MULTILINE);
    private static final Pattern TAGGED = Pattern.compile("@Tag\\(\"known-red\"\\)\\s+void (\\w+)\\(");
    private static final Pattern TAG = Pattern.compile("(?m)^\\s*@Tag\\(");

    @Test
    void exactlyTheListedTestsArePassedOver() throws IOException {
        Set<String> tagged = new TreeSet<>();
        int tags = 0;
        for (Path file : testFiles()) {
            String source = Files.readString(file);
            String name = file.getFileName().toString().replace(".java", "");
            matches(TAGGED, source).forEach(method -> tagged.add(name + '.' + method));
            tags += (int) TAG.matcher(source).results().count();
        }
        assertEquals(matches(LISTED, Files.readString(Path.of("KNOWN-RED.txt"))), tagged);
        assertEquals(tagged.size(), tags, "each tag is one of a listed test");
    }

    private static List<Path> testFiles() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static Set<String> matches(Pattern pattern, String text) {
        Set<String> found = new TreeSet<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }
}
