package brambletray.relay.inventory;

import brambletray.common.yaml.Faults;
import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Flat CSV (RFC 4180) with a header that names our fields in any order; commas or, as spreadsheets of some
 * languages write it, semicolons. Lines that begin with {@code #} are comments. The column of a fault is the
 * field's number in its row.
 */
final class CsvFormat {
    private CsvFormat() {}

    static Revision parse(String file, String text) throws Faults {
        Rows rows = new Rows(file);
        String head = text.lines()
                .filter(l -> !l.isBlank() && !l.startsWith("#"))
                .findFirst()
                .orElse("");
        char delimiter = head.indexOf(';') >= 0 && head.indexOf(',') < 0 ? ';' : ',';
        CSVFormat format = CSVFormat.RFC4180
                .builder()
                .setDelimiter(delimiter)
                .setCommentMarker('#')
                .setIgnoreEmptyLines(true)
                .setTrim(true)
                .get();
        try (CSVParser parser = CSVParser.parse(new StringReader(text), format)) {
            List<String> header = null;
            for (CSVRecord record : parser) {
                int line = (int) parser.getCurrentLineNumber();
                if (header == null) {
                    header = header(rows, line, record);
                    if (header == null) {
                        return rows.done();
                    }
                    continue;
                }
                if (record.size() != header.size()) {
                    rows.fault(
                            line,
                            record.size(),
                            "expected " + header.size() + " fields as in the header, not " + record.size());
                    continue;
                }
                Map<String, Rows.Cell> cells = new HashMap<>();
                for (int i = 0; i < record.size(); i++) {
                    cells.put(header.get(i), new Rows.Cell(record.get(i), line, i + 1));
                }
                rows.row(line, cells);
            }
        } catch (IOException | UncheckedIOException e) {
            rows.fault(1, 1, "not CSV: " + e.getMessage());
        }
        return rows.done();
    }

    private static List<String> header(Rows rows, int line, CSVRecord record) {
        List<String> header =
                record.stream().map(h -> h.toLowerCase(Locale.ROOT)).toList();
        Set<String> seen = new HashSet<>();
        boolean usable = true;
        for (int i = 0; i < header.size(); i++) {
            if (!Rows.FIELDS.contains(header.get(i)) || !seen.add(header.get(i))) {
                rows.fault(
                        line,
                        i + 1,
                        "header: expected each of " + String.join(", ", Rows.FIELDS) + " at most once, not '"
                                + header.get(i) + "'");
                usable = false;
            }
        }
        for (String needed : List.of("name", "address", "port", "destination")) {
            if (usable && !seen.contains(needed)) {
                rows.fault(line, 1, "header: expected a column " + needed);
                usable = false;
            }
        }
        return usable ? header : null;
    }
}
