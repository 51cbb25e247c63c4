package brambletray;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** {@code packages} in deploy/system.toml names what the commands of a build and a run come from, and nothing else. */
class DeployPackagesTest {
    private static final Path DEPLOY = Path.of("deploy");

    /** The Debian package of each command that a script may use. */
    private static final Map<String, String> PACKAGES = Map.ofEntries(
            Map.entry("mvn", "maven"),
            Map.entry("java", "openjdk-17-jdk-headless"),
            Map.entry("sh", "dash"),
            Map.entry("grep", "grep"),
            Map.entry("sed", "sed"),
            Map.entry("cat", "coreutils"),
            Map.entry("dirname", "coreutils"),
            Map.entry("mkdir", "coreutils"),
            Map.entry("mktemp", "coreutils"),
            Map.entry("rm", "coreutils"),
            Map.entry("seq", "coreutils"),
            Map.entry("sleep", "coreutils"));

    /** What the shell does itself. */
    private static final Set<String> SHELL =
            Set.of("[", "break", "cd", "do", "done", "exec", "exit", "for", "kill", "wait", "{", "}");

    private static final Pattern HERE_DOCUMENT =
            Pattern.compile("<<'?(\\w+)'?([^\\n]*)\\n.*?\\n\\1(?=\\n|$)", Pattern.DOTALL);
    private static final Pattern FUNCTION = Pattern.compile("^(\\w+)\\(\\) \\{", Pattern.MULTILINE);
    private static final Pattern SUBSTITUTION = Pattern.compile("\\$\\(([^()]*)\\)");

    /** Words and assignments before a command on its line. */
    private static final Pattern LEADING = Pattern.compile("^((do|else|exec|if|then|!|\\{|\\w+=\\S*)(\\s+|$))*");

    private static final Pattern LISTED = Pattern.compile("\"([^\"]+)\"");

    @Test
    void theListHoldsWhatTheCommandsNeedAndNothingElse() throws IOException {
        Set<String> needed = new TreeSet<>();
        Set<String> commands = new TreeSet<>();
        for (String line : settings("build")) {
            commands.addAll(commands(line));
        }
        for (String line : settings("run")) {
            commands.addAll(commands(line));
        }
        for (String script : List.of("archive", "archive-system")) {
            commands.addAll(commands(Files.readString(DEPLOY.resolve(script))));
        }
        assertTrue(commands.containsAll(Set.of("mvn", "java", "sh", "mktemp", "grep", "sed")), "read: " + commands);
        for (String command : commands) {
            assertTrue(PACKAGES.containsKey(command), "a command without a package in this test's table: " + command);
            needed.add(PACKAGES.get(command));
        }
        List<String> listed = listed();
        assertEquals(needed, new TreeSet<>(listed), "needed by the commands, and listed");
        assertEquals(needed.size(), listed.size(), "each is listed once");
    }

    @Test
    void theListStandsBeforeTheFirstTable() throws IOException {
        String text = Files.readString(DEPLOY.resolve("system.toml"));
        int key = text.indexOf("\npackages = [");
        assertTrue(key > 0 && key < text.indexOf("\n["), "a key of the top level");
    }

    @Test
    void commandsAreReadFromAllPartsOfALine() {
        assertEquals(
                Set.of("a", "b", "c", "d", "e", "f"),
                commands(
                        "a -x && b | c; for i in $(d 3); do\n  X=\"1 2\" e 'quoted; g' &\ndone\nf <<CONF\nnot-a-command\nCONF\n"));
        assertFalse(commands("own() { # a comment; h\n  a\n}\nown x\n").contains("own"));
    }

    /** The values of a key in deploy/system.toml. */
    private static List<String> settings(String key) throws IOException {
        List<String> values = new ArrayList<>();
        Matcher setting = Pattern.compile("^" + key + " = \"(.*)\"$", Pattern.MULTILINE)
                .matcher(Files.readString(DEPLOY.resolve("system.toml")));
        while (setting.find()) {
            values.add(setting.group(1));
        }
        assertFalse(values.isEmpty(), key);
        return values;
    }

    private static List<String> listed() throws IOException {
        String text = Files.readString(DEPLOY.resolve("system.toml"));
        int start = text.indexOf("\npackages = [");
        assertTrue(start > 0, "packages");
        List<String> names = new ArrayList<>();
        Matcher name = LISTED.matcher(text.substring(start, text.indexOf(']', start)));
        while (name.find()) {
            names.add(name.group(1));
        }
        return names;
    }

    /** The programs that a script starts: the first word of each command, less the shell's own and its functions. */
    private static Set<String> commands(String script) {
        Set<String> known = new TreeSet<>(SHELL);
        Matcher function = FUNCTION.matcher(script);
        while (function.find()) {
            known.add(function.group(1));
        }
        Set<String> commands = new TreeSet<>();
        for (String part : parts(script)) {
            String rest = LEADING.matcher(part.strip()).replaceFirst("");
            String word = rest.split("\\s+")[0];
            if (!word.isEmpty() && !known.contains(word)) {
                commands.add(word);
            }
        }
        return commands;
    }

    /** The script's commands, those of command substitutions too, with texts in quotes as one letter. */
    private static List<String> parts(String script) {
        String text = HERE_DOCUMENT.matcher(script).replaceAll("$2");
        text = text.replaceAll("(?m)(^|\\s)#.*$", "$1").replaceAll("\\$\\(\\(.*?\\)\\)", "0");
        List<String> parts = new ArrayList<>();
        Matcher substitution = SUBSTITUTION.matcher(text);
        while (substitution.find()) {
            parts.addAll(parts(substitution.group(1)));
            text = substitution.replaceFirst("v");
            substitution = SUBSTITUTION.matcher(text);
        }
        text = text.replaceAll("'[^']*'|\"[^\"]*\"", "q").replace("\\\n", " ");
        text = FUNCTION.matcher(text).replaceAll("").replaceAll("\\d?>&\\d", "");
        parts.addAll(List.of(text.split("&&|\\|\\||[;|&\\n]")));
        return parts;
    }
}
