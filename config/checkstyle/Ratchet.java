import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Compares Checkstyle's report with the violations that are tolerated so far (ratchet.txt: file, check, count). Runs from
 * the project's root, after Checkstyle has written its report.
 *
 * <p>{@code check} exits with 1 where a file has more violations of a check than its entry allows, and where it has fewer,
 * so that the entry shrinks with them. {@code update} writes ratchet.txt anew from the report.
 */
class Ratchet {
    private static final Path REPORT = Path.of("target", "checkstyle-result.xml");
    private static final Path ENTRIES = Path.of("config", "checkstyle", "ratchet.txt");
    private static final String HEAD =
            """
            # Violations of checkstyle.xml that are tolerated: file, check, count. Written by Ratchet.java (CONTRIBUTING.md).
            """;

    public static void main(String[] arguments) throws Exception {
        String command = arguments.length == 1 ? arguments[0] : "";
        switch (command) {
            case "check" -> System.exit(check() ? 0 : 1);
            case "update" -> {
                update();
                System.exit(check() ? 0 : 1);
            }
            default -> {
                System.err.println("expected check or update");
                System.exit(2);
            }
        }
    }

    private static boolean check() throws Exception {
        Map<String, List<String>> found = violations();
        Map<String, Integer> allowed = entries();
        List<String> faults = new ArrayList<>();
        found.forEach((key, messages) -> {
            int bound = allowed.getOrDefault(key, 0);
            if (messages.size() > bound) {
                faults.add(key + ": " + messages.size() + " violations, " + bound + " tolerated:");
                messages.forEach(message -> faults.add("    " + message));
            }
        });
        allowed.forEach((key, bound) -> {
            int count = found.getOrDefault(key, List.of()).size();
            if (count < bound) {
                faults.add(key + ": " + count + " violations, the entry says " + bound + ": write ratchet.txt anew");
            }
        });
        int total = allowed.values().stream().mapToInt(Integer::intValue).sum();
        System.out.println("checkstyle ratchet: " + allowed.size() + " entries, " + total + " violations tolerated");
        faults.forEach(fault -> System.err.println("checkstyle: " + fault));
        return faults.isEmpty();
    }

    private static void update() throws Exception {
        StringBuilder text = new StringBuilder(HEAD);
        violations().forEach((key, messages) -> text.append(key).append(' ').append(messages.size()).append('\n'));
        Files.writeString(ENTRIES, text.toString());
    }

    private static Map<String, Integer> entries() throws IOException {
        Map<String, Integer> entries = new TreeMap<>();
        for (String line : Files.readAllLines(ENTRIES)) {
            if (!line.isBlank() && !line.startsWith("#")) {
                int end = line.lastIndexOf(' ');
                entries.put(line.substring(0, end), Integer.parseInt(line.substring(end + 1)));
            }
        }
        return entries;
    }

    /** The report's violations as "line: message", by "file check". */
    private static Map<String, List<String>> violations() throws Exception {
        Path root = Path.of("").toAbsolutePath();
        Map<String, List<String>> violations = new TreeMap<>();
        NodeList files = DocumentBuilderFactory.newInstance()
                .newDocumentBuilder()
                .parse(REPORT.toFile())
                .getElementsByTagName("file");
        if (files.getLength() == 0) {
            throw new IllegalStateException(REPORT + ": no file was checked");
        }
        for (int i = 0; i < files.getLength(); i++) {
            Element file = (Element) files.item(i);
            String name = root.relativize(Path.of(file.getAttribute("name")).toAbsolutePath())
                    .toString()
                    .replace('\\', '/');
            NodeList errors = file.getElementsByTagName("error");
            for (int k = 0; k < errors.getLength(); k++) {
                Element error = (Element) errors.item(k);
                String check = error.getAttribute("source").replaceAll(".*\\.|Check(?=#|$)", "");
                violations
                        .computeIfAbsent(name + " " + check, key -> new ArrayList<>())
                        .add("line " + error.getAttribute("line") + ": " + error.getAttribute("message"));
            }
        }
        return violations;
    }
}
