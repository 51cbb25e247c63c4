package brambletray.platform.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * A timeline in text form: a line of actor names, then rows with a time in ms and, for each actor, its actions and
 * observed events, separated by commas.
 */
record Timeline(List<String> names, List<Row> rows) {
    /** {@code cells}: one for each name. */
    record Row(long at, List<List<String>> cells, String drawn) {}

    static Timeline read(String drawn) {
        List<String> lines = drawn.strip().lines().toList();
        List<String> names = parts(lines.get(0), "\\|");
        List<Row> rows = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            List<String> cells = parts(line, "\\|");
            List<List<String>> row = new ArrayList<>();
            for (int i = 1; i < names.size(); i++) {
                row.add(i < cells.size() ? parts(cells.get(i), ",") : List.of());
            }
            rows.add(new Row(Long.parseLong(cells.get(0)), row, line.strip()));
        }
        return new Timeline(names.subList(1, names.size()), rows);
    }

    private static List<String> parts(String text, String by) {
        List<String> parts = new ArrayList<>();
        for (String part : text.split(by, -1)) {
            parts.add(part.strip());
        }
        parts.removeIf(part -> by.equals(",") && part.isEmpty());
        return parts;
    }
}
