package brambletray.platform.provisioning;

import java.util.ArrayList;
import java.util.List;

/** A drawn timeline: a head line of names, then lines of ms and what happens, or is to be seen, in each column. */
record Timeline(List<String> names, List<Row> rows) {
    /** {@code cells}: one a name, with what happens there, in order. */
    record Row(long at, List<List<String>> cells, String drawn) {}

    static Timeline read(String drawn) {
        List<String> lines = drawn.strip().lines().toList();
        List<String> names = split(lines.get(0), "\\|");
        List<Row> rows = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            List<String> cells = split(line, "\\|");
            List<List<String>> happening = new ArrayList<>();
            for (int i = 1; i < names.size(); i++) {
                happening.add(i < cells.size() ? split(cells.get(i), ",") : List.of());
            }
            rows.add(new Row(Long.parseLong(cells.get(0)), happening, line));
        }
        return new Timeline(names.subList(1, names.size()), rows);
    }

    private static List<String> split(String text, String by) {
        List<String> parts = new ArrayList<>();
        for (String part : text.split(by)) {
            parts.add(part.strip());
        }
        return parts;
    }
}
