package brambletray.platform.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Columns as wide as what stands in them. */
final class TextTable {
    private final List<String[]> rows = new ArrayList<>();

    TextTable(String... header) {
        rows.add(header);
    }

    TextTable row(Object... cells) {
        String[] row = new String[rows.get(0).length];
        for (int i = 0; i < row.length; i++) {
            row[i] = i < cells.length && cells[i] != null ? cells[i].toString() : "-";
        }
        rows.add(row);
        return this;
    }

    void print(PrintStream out) {
        int[] widths = new int[rows.get(0).length];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                line.append(row[i]).append(i + 1 < row.length ? " ".repeat(widths[i] - row[i].length() + 2) : "");
            }
            out.println(line);
        }
    }
}
