package brambletray;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMember;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Words of the former house style do not come back as names: of types, methods and fields of the platform and of the
 * relay's decisions, event loop and recovery, and of the platform's log events. {@code docs/GLOSSARY.md} has the terms
 * that stand in their place.
 */
class WithdrawnNamesTest {
    private static final Set<String> WITHDRAWN = Set.of(
            "beats",
            "book",
            "creed",
            "desk",
            "doubt",
            "errand",
            "fellows",
            "helm",
            "hub",
            "kept",
            "kin",
            "knock",
            "knocks",
            "letter",
            "life",
            "lives",
            "mates",
            "news",
            "pardon",
            "patience",
            "plea",
            "seat",
            "seats",
            "stray",
            "strays",
            "tale",
            "tally",
            "tell",
            "told",
            "trove",
            "vow",
            "ward",
            "wards",
            "whole",
            "worth",
            "yard");
    /** Packages that hold to them; each is entered here once it does, and never taken out. */
    private static final List<String> PACKAGES = List.of(
            "brambletray.platform",
            "brambletray.relay.control",
            "brambletray.relay.core",
            "brambletray.relay.peers",
            "brambletray.relay.recovery");

    private static final Pattern WORD = Pattern.compile("[A-Z]?[a-z]+|[A-Z]+(?![a-z])");
    private static final Pattern EVENT =
            Pattern.compile("\\bLOG\\s*\\.(?:info|warn|debug)\\(\\s*\"([^\"]*)\"|return \"([a-z]+\\.[a-z-]+)\";");

    private static List<String> withdrawnWordsIn(String name) {
        List<String> found = new ArrayList<>();
        Matcher words = WORD.matcher(name.replaceAll("(?i)half[-_]?life", ""));
        while (words.find()) {
            String word = words.group().toLowerCase(Locale.ROOT);
            if (WITHDRAWN.contains(word)) {
                found.add(word);
            }
        }
        return found;
    }

    @Test
    void aWithdrawnWordInANameIsFound() {
        assertEquals(List.of("knock"), withdrawnWordsIn("knockAtMs"));
        assertEquals(List.of("hub"), withdrawnWordsIn("onHubGone"));
        assertEquals(List.of("seat"), withdrawnWordsIn("SEAT_MS"));
        assertEquals(List.of(), withdrawnWordsIn("lifecycle"));
        assertEquals(List.of(), withdrawnWordsIn("halfLifeDecay"));
        assertEquals(List.of("life"), withdrawnWordsIn("halfALife"));
    }

    @Test
    void typesMethodsAndFields() {
        JavaClasses types = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages(PACKAGES);
        List<String> found = new ArrayList<>();
        for (JavaClass type : types) {
            if (!withdrawnWordsIn(type.getSimpleName()).isEmpty()) {
                found.add(type.getName());
            }
            for (JavaMember member : type.getMembers()) {
                boolean synthetic =
                        member.getName().contains("$") || member.getName().startsWith("<");
                if (!synthetic && !withdrawnWordsIn(member.getName()).isEmpty()) {
                    found.add(member.getFullName());
                }
            }
        }
        assertEquals(List.of(), found);
    }

    @Test
    void logEventsOfThePlatform() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/brambletray/platform"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                Matcher events = EVENT.matcher(Files.readString(file));
                while (events.find()) {
                    String event = events.group(1) == null ? events.group(2) : events.group(1);
                    if (!withdrawnWordsIn(event).isEmpty()) {
                        found.add(file.getFileName() + ": " + event);
                    }
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
