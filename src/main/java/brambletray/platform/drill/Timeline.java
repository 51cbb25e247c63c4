package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** What happened to each process of a course, in order; drawn with one column for each process. */
final class Timeline {
    /** The column of operators; acknowledgements are counted there from one row to the next. */
    static final String OPERATORS = "operators";

    /** One thing that happened to one process, ms since the start of the course. */
    private record Event(long atMs, String process, String text) {}

    private final boolean records;
    private final List<Event> events = new ArrayList<>();
    private int acknowledged;

    private Timeline(boolean records) {
        this.records = records;
    }

    static Timeline recording() {
        return new Timeline(true);
    }

    /** One that keeps nothing. */
    static Timeline none() {
        return new Timeline(false);
    }

    boolean records() {
        return records;
    }

    void note(long atMs, String process, String text) {
        if (records) {
            flushAcknowledged(atMs);
            events.add(new Event(atMs, process, text));
        }
    }

    void acknowledged() {
        acknowledged++;
    }

    private void flushAcknowledged(long atMs) {
        if (acknowledged > 0) {
            events.add(new Event(atMs, OPERATORS, "+" + acknowledged + " acknowledged"));
            acknowledged = 0;
        }
    }

    /** Rows of one instant each; a process that two things happened to at one instant has two rows. */
    String draw() {
        List<String> processes = processes();
        List<String[]> rows = rows(processes);
        int[] widths = new int[processes.size() + 1];
        for (String[] row : rows) {
            for (int i = 0; i < row.length; i++) {
                widths[i] = Math.max(widths[i], row[i].length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.length; i++) {
                line.append(row[i]).append(" ".repeat(widths[i] - row[i].length() + 2));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    /** Core machines, edges, operators: by name. */
    private List<String> processes() {
        TreeSet<String> names = new TreeSet<>();
        events.forEach(event -> names.add(event.process()));
        return new ArrayList<>(names);
    }

    private List<String[]> rows(List<String> processes) {
        List<String[]> rows = new ArrayList<>();
        rows.add(emptyRow("ms", processes.size()));
        for (int i = 0; i < processes.size(); i++) {
            rows.get(0)[i + 1] = processes.get(i);
        }
        long at = -1;
        String[] row = null;
        for (Event event : events) {
            int column = processes.indexOf(event.process()) + 1;
            if (row == null || event.atMs() != at || !row[column].isEmpty()) {
                at = event.atMs();
                row = emptyRow(Long.toString(at), processes.size());
                rows.add(row);
            }
            row[column] = event.text();
        }
        return rows;
    }

    private static String[] emptyRow(String first, int processes) {
        String[] row = new String[processes + 1];
        java.util.Arrays.fill(row, "");
        row[0] = first;
        return row;
    }

    List<Map<String, Object>> json() {
        List<Map<String, Object>> json = new ArrayList<>();
        for (Event event : events) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("at-ms", event.atMs());
            one.put("process", event.process());
            one.put("event", event.text());
            json.add(one);
        }
        return json;
    }
}
