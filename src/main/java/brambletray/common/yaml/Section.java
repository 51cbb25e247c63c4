package brambletray.common.yaml;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * One mapping of a {@link YamlFile}, read field by field. A field that is missing or wrong is noted as a
 * fault, and something harmless is returned in its place; {@link #done} notes the fields that nobody asked
 * for.
 */
public final class Section {
    private final YamlFile file;
    private final Node node;
    private final String path;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Map<String, Node> keys = new LinkedHashMap<>();
    private final Set<String> asked = new LinkedHashSet<>();

    Section(YamlFile file, MappingNode mapping, String path) {
        this.file = file;
        this.node = mapping;
        this.path = path;
        for (NodeTuple tuple : mapping.getValue()) {
            if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                file.fault(tuple.getKeyNode(), "expected a name");
            } else if (values.putIfAbsent(key.getValue(), tuple.getValueNode()) != null) {
                file.fault(key, "'" + key.getValue() + "' stands here twice");
            } else {
                keys.put(key.getValue(), key);
            }
        }
    }

    /** A section with one field only, which the file does not name. */
    Section(YamlFile file, String field, Node value) {
        this(file, value, "");
        values.put(field, value);
    }

    /** A section with nothing in it, where one was left out. */
    private Section(YamlFile file, Node at, String path) {
        this.file = file;
        this.node = at;
        this.path = path;
    }

    private String named(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Whether there is such a field. */
    public boolean has(String field) {
        return values.containsKey(field);
    }

    /** The names of all fields, in the order of the file. */
    public Set<String> names() {
        return values.keySet();
    }

    /** Line on which it begins; from 1. */
    public int line() {
        return node.getStartMark().map(mark -> mark.getLine() + 1).orElse(1);
    }

    /** Notes a fault at a field, or at the section if it has no such field. */
    public void fault(String field, String text) {
        file.fault(values.getOrDefault(field, node), named(field) + ": " + text);
    }

    private String scalar(String field, String expected, boolean needed) {
        asked.add(field);
        Node value = values.get(field);
        if (value == null) {
            if (needed) {
                file.fault(node, named(field) + " is missing: expected " + expected);
            }
            return null;
        }
        if (!(value instanceof ScalarNode scalar) || scalar.getValue().isEmpty()) {
            file.fault(value, named(field) + ": expected " + expected);
            return null;
        }
        return scalar.getValue();
    }

    /** A text that must be there; empty, and a fault noted, where it is not. */
    public String text(String field) {
        String value = scalar(field, "a text", true);
        return value == null ? "" : value;
    }

    /** A text, or {@code absent} where there is no such field. */
    public String text(String field, String absent) {
        String value = scalar(field, "a text", false);
        return value == null ? absent : value;
    }

    /** One of some words; {@code absent} null if it must be there. */
    public String word(String field, String absent, String... words) {
        String expected = "one of " + String.join(", ", words);
        String value = scalar(field, expected, absent == null);
        if (value != null && !Arrays.asList(words).contains(value)) {
            file.fault(values.get(field), named(field) + ": expected " + expected + ", not '" + value + "'");
            value = null;
        }
        return value == null ? absent == null ? words[0] : absent : value;
    }

    /**
     * A number that must be there, from {@code least} to {@code most}; {@code least}, and a fault noted, where it is
     * not.
     */
    public double number(String field, double least, double most) {
        return number(field, least, least, most, true);
    }

    /** A number from {@code least} to {@code most}, or {@code absent} where there is no such field. */
    public double number(String field, double absent, double least, double most) {
        return number(field, absent, least, most, false);
    }

    private double number(String field, double absent, double least, double most, boolean needed) {
        String expected = "a number from " + plain(least) + " to " + plain(most);
        String text = scalar(field, expected, needed);
        if (text == null) {
            return absent;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, with what was expected.
        }
        file.fault(values.get(field), named(field) + ": expected " + expected + ", not '" + text + "'");
        return absent;
    }

    /** A whole number from {@code least} to {@code most}, or {@code absent} where there is no such field. */
    public int whole(String field, int absent, int least, int most) {
        double value = number(field, absent, least, most, false);
        return whole(field, value, absent);
    }

    /** A whole number that must be there, from {@code least} to {@code most}. */
    public int whole(String field, int least, int most) {
        return whole(field, number(field, least, least, most, true), least);
    }

    private int whole(String field, double value, int absent) {
        if (value != Math.rint(value)) {
            fault(field, "expected a whole number");
            return absent;
        }
        return (int) value;
    }

    /** True or false, or {@code absent} where there is no such field. */
    public boolean flag(String field, boolean absent) {
        String value = scalar(field, "true or false", false);
        if (value == null) {
            return absent;
        }
        if (!value.equals("true") && !value.equals("false")) {
            file.fault(values.get(field), named(field) + ": expected true or false, not '" + value + "'");
        }
        return value.equals("true");
    }

    /** A mapping in it; one without fields if it is left out and may be. */
    public Section section(String field, boolean needed) {
        asked.add(field);
        Node value = values.get(field);
        if (value instanceof MappingNode mapping) {
            return new Section(file, mapping, named(field));
        }
        if (value != null || needed) {
            file.fault(value == null ? node : value, named(field) + ": expected a mapping");
        }
        return new Section(file, value == null ? node : value, named(field));
    }

    /** A mapping in it, where nothing at all ({@code name:}) stands for one without fields. */
    public Section sectionOrEmpty(String field) {
        asked.add(field);
        if (values.get(field) instanceof ScalarNode scalar
                && (scalar.getValue().isEmpty()
                        || scalar.getValue().equals("null")
                        || scalar.getValue().equals("~"))) {
            return new Section(file, scalar, named(field));
        }
        return section(field, false);
    }

    /** True where a field is a plain text or number. */
    public boolean isText(String field) {
        return values.get(field) instanceof ScalarNode;
    }

    /** Column at which a field's value begins; from 1. */
    public int column(String field) {
        Node at = values.getOrDefault(field, node);
        return at.getStartMark().map(mark -> mark.getColumn() + 1).orElse(1);
    }

    /** Line on which a field's value begins; from 1. */
    public int line(String field) {
        Node at = values.getOrDefault(field, node);
        return at.getStartMark().map(mark -> mark.getLine() + 1).orElse(1);
    }

    /** A list of mappings in it. */
    public List<Section> sections(String field, boolean needed) {
        List<Section> all = new ArrayList<>();
        for (Node item : items(field, needed)) {
            if (item instanceof MappingNode mapping) {
                all.add(new Section(file, mapping, named(field) + "[" + all.size() + "]"));
            } else {
                file.fault(item, named(field) + ": expected a mapping");
            }
        }
        return all;
    }

    /** A list of texts, or one text that stands for a list of one. */
    public List<String> texts(String field, boolean needed) {
        asked.add(field);
        if (values.get(field) instanceof ScalarNode) {
            return List.of(text(field));
        }
        List<String> all = new ArrayList<>();
        for (Node item : items(field, needed)) {
            if (item instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
                all.add(scalar.getValue());
            } else {
                file.fault(item, named(field) + ": expected a text");
            }
        }
        return all;
    }

    private List<Node> items(String field, boolean needed) {
        asked.add(field);
        Node value = values.get(field);
        if (value instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        if (value != null || needed) {
            file.fault(value == null ? node : value, named(field) + ": expected a list");
        }
        return List.of();
    }

    /** Notes the fields that nobody asked for, with those that there are. */
    public void done() {
        for (Map.Entry<String, Node> key : keys.entrySet()) {
            if (!asked.contains(key.getKey())) {
                file.fault(
                        key.getValue(),
                        "'" + named(key.getKey()) + "' is not known here: expected one of " + String.join(", ", asked));
            }
        }
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
