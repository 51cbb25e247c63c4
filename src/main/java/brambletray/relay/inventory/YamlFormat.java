package brambletray.relay.inventory;

import brambletray.common.yaml.Faults;
import brambletray.common.yaml.Section;
import brambletray.common.yaml.YamlFile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * YAML, as a plain list of hosts (by itself, or as the field {@code hosts}), or as Ansible keeps it:
 * {@code all} with {@code children}, {@code hosts} and {@code vars}. A variable of a host's group counts over
 * one of the group's parent, among groups of one depth the one later by name, and the host's own over all.
 */
final class YamlFormat {
    /** From our fields to Ansible's variables; more than one is looked for in this order. */
    private static final Map<String, List<String>> VARIABLES = variables();

    private static final int DEPTH_MOST = 50;

    private YamlFormat() {}

    private static Map<String, List<String>> variables() {
        Map<String, List<String>> all = new HashMap<>();
        for (String field : Rows.FIELDS) {
            all.put(field, List.of("brambletray_" + field));
        }
        all.put("address", List.of("brambletray_address", "ansible_host"));
        return all;
    }

    static Revision parse(String file, String text) throws Faults {
        YamlFile.Content content = YamlFile.parse(file, text, "hosts", Inventory.BYTES_MOST);
        Rows rows = new Rows(file);
        if (content.root().has("all")) {
            new Ansible(rows).read(content.root());
        } else {
            for (Section host : content.root().sections("hosts", true)) {
                Map<String, Rows.Cell> cells = new HashMap<>();
                for (String field : Rows.FIELDS) {
                    if (host.has(field)) {
                        cells.put(field, cell(host, field));
                    }
                }
                host.done();
                rows.row(host.line(), cells);
            }
            content.root().done();
        }
        content.file().check();
        return rows.done();
    }

    private static Rows.Cell cell(Section section, String field) {
        return new Rows.Cell(section.text(field, ""), section.line(field), section.column(field));
    }

    /** Variables that one group, or a host itself, gives a host. */
    private record Layer(int depth, String group, Map<String, Rows.Cell> vars) {}

    private static final class Ansible {
        private final Rows rows;
        private final Map<String, List<Layer>> layers = new LinkedHashMap<>();
        private final Map<String, Integer> lines = new HashMap<>();

        Ansible(Rows rows) {
            this.rows = rows;
        }

        void read(Section root) {
            group("all", root.sectionOrEmpty("all"), 0, List.of());
            for (String other : root.names()) {
                if (!other.equals("all")) {
                    // Groups beside all are children of it.
                    group(other, root.sectionOrEmpty(other), 1, List.of());
                }
            }
            layers.forEach((host, all) -> {
                all.sort(Comparator.comparingInt(Layer::depth).thenComparing(Layer::group));
                Map<String, Rows.Cell> vars = new HashMap<>();
                all.forEach(layer -> vars.putAll(layer.vars()));
                Map<String, Rows.Cell> cells = new HashMap<>();
                VARIABLES.forEach((field, names) -> names.stream()
                        .filter(vars::containsKey)
                        .findFirst()
                        .ifPresent(name -> cells.put(field, vars.get(name))));
                cells.putIfAbsent("name", new Rows.Cell(host, lines.get(host), 1));
                rows.row(lines.get(host), cells);
            });
        }

        private void group(String name, Section group, int depth, List<Layer> above) {
            if (depth > DEPTH_MOST) {
                rows.fault(group.line(), 1, "expected no more than " + DEPTH_MOST + " groups in each other");
                return;
            }
            List<Layer> here = new ArrayList<>(above);
            here.add(new Layer(depth, name, vars(group.sectionOrEmpty("vars"))));
            Section hosts = group.sectionOrEmpty("hosts");
            for (String host : hosts.names()) {
                Section own = hosts.sectionOrEmpty(host);
                List<Layer> all = layers.computeIfAbsent(host, h -> new ArrayList<>());
                lines.putIfAbsent(host, own.line());
                all.addAll(here);
                all.add(new Layer(Integer.MAX_VALUE, name, vars(own)));
            }
            Section children = group.sectionOrEmpty("children");
            for (String child : children.names()) {
                group(child, children.sectionOrEmpty(child), depth + 1, here);
            }
            group.done();
        }

        private static Map<String, Rows.Cell> vars(Section section) {
            Map<String, Rows.Cell> vars = new HashMap<>();
            for (String name : section.names()) {
                // Variables that are lists or mappings are none of ours.
                if (section.isText(name)) {
                    vars.put(name, cell(section, name));
                }
            }
            return vars;
        }
    }
}
