package brambletray.common.yaml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * One YAML 1.2 file that is checked whole: every fault is noted with its line and column, and all of them are
 * told together by {@link #check}. No objects are made of it, anchors are refused, and it has a size.
 */
public final class YamlFile {
    private static final int BYTES_MOST = 4 << 20;
    private static final int FAULTS_MOST = 100;

    private record Fault(int line, int column, String text) {}

    private final String name;
    private final List<Fault> faults = new ArrayList<>();
    private final Map<Node, Boolean> seen = new IdentityHashMap<>();

    private YamlFile(String name) {
        this.name = name;
    }

    /** What stands in a file, to be read section by section. */
    public record Content(YamlFile file, Section root) {}

    /** Reads a file; a file that is no YAML, or no mapping, is one fault. */
    public static Content read(Path path) throws Faults, IOException {
        if (Files.size(path) > BYTES_MOST) {
            throw new Faults(List.of(path + ": over " + BYTES_MOST + " bytes"));
        }
        return parse(path.toString(), Files.readString(path));
    }

    /** Reads a text; {@code name} stands before each fault. */
    public static Content parse(String name, String text) throws Faults {
        return parse(name, text, null, BYTES_MOST);
    }

    /**
     * As above, up to so many characters; a text that is one list is read as a mapping with the list in this
     * field.
     */
    public static Content parse(String name, String text, String listField, int most) throws Faults {
        YamlFile file = new YamlFile(name);
        try {
            LoadSettings settings = LoadSettings.builder()
                    .setLabel(name)
                    .setCodePointLimit(most)
                    .build();
            Optional<Node> root = new Compose(settings).composeString(text);
            if (root.orElse(null) instanceof SequenceNode list && listField != null) {
                // A plain list is read as the one field of a mapping.
                file.refuseAliases(list);
                file.check();
                return new Content(file, new Section(file, listField, list));
            }
            if (root.orElse(null) instanceof MappingNode mapping) {
                file.refuseAliases(mapping);
                file.check();
                return new Content(file, new Section(file, mapping, ""));
            }
            throw new Faults(List.of(name + ":1:1: expected a mapping of names to values"));
        } catch (MarkedYamlEngineException e) {
            Mark mark = e.getProblemMark().orElse(null);
            throw new Faults(
                    List.of(name + ":" + (mark == null ? "1:1" : place(mark)) + ": not YAML: " + e.getProblem()));
        } catch (YamlEngineException e) {
            throw new Faults(List.of(name + ":1:1: not YAML: " + e.getMessage()));
        }
    }

    private static String place(Mark mark) {
        return (mark.getLine() + 1) + ":" + (mark.getColumn() + 1);
    }

    /** Notes a fault at a node; reading goes on, so that all faults are told at once. */
    void fault(Node at, String text) {
        Mark mark = at.getStartMark().orElse(null);
        faults.add(new Fault(mark == null ? 1 : mark.getLine() + 1, mark == null ? 1 : mark.getColumn() + 1, text));
    }

    /** Guards against files that are small and mean something huge: a node may stand in one place only. */
    private void refuseAliases(Node node) {
        if (seen.put(node, true) != null) {
            fault(node, "expected no alias (*) of an anchor (&)");
        } else if (node instanceof SequenceNode sequence) {
            sequence.getValue().forEach(this::refuseAliases);
        } else if (node instanceof MappingNode mapping) {
            mapping.getValue().forEach(tuple -> {
                refuseAliases(tuple.getKeyNode());
                refuseAliases(tuple.getValueNode());
            });
        }
    }

    /** Throws all faults found so far, in the order of the file. */
    public void check() throws Faults {
        if (!faults.isEmpty()) {
            TreeSet<String> reported = new TreeSet<>();
            List<String> lines = new ArrayList<>();
            faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
            for (Fault f : faults) {
                String line = name + ":" + f.line() + ":" + f.column() + ": " + f.text();
                if (reported.add(line) && lines.size() < FAULTS_MOST) {
                    lines.add(line);
                }
            }
            throw new Faults(lines);
        }
    }
}
