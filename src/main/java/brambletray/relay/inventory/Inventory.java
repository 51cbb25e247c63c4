package brambletray.relay.inventory;

import brambletray.common.yaml.Faults;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads inventories of all formats; by the name's ending .csv, else YAML. */
public final class Inventory {
    /** A file above this is refused unread. */
    public static final int BYTES_MOST = 32 << 20;

    private static final Pattern TRAILER = Pattern.compile("(?m)^#\\s*end of inventory:\\s*(\\d+)" + " hosts\\s*\\z");

    /**
     * A file that was read; {@code sealed}: its last line tells the number of its hosts, so that it is
     * whole.
     */
    public record Parsed(Revision revision, boolean sealed) {}

    private Inventory() {}

    /** Reads a file as it stands now. */
    public static Parsed read(Path path) throws Faults, IOException {
        if (Files.size(path) > BYTES_MOST) {
            throw new Faults(List.of(path + ":1:1: expected no more than " + BYTES_MOST + " bytes"));
        }
        return parse(path.toString(), Files.readAllBytes(path));
    }

    /** Reads a text in UTF-8, with or without a byte order mark. */
    public static Parsed parse(String name, byte[] bytes) throws Faults {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new Faults(
                    List.of(name + ":1:1: expected UTF-8; save it as UTF-8 (a spreadsheet's" + " \"CSV UTF-8\")"));
        }
        if (text.startsWith("\uFEFF")) {
            text = text.substring(1);
        }
        if (text.indexOf('\0') >= 0) {
            throw new Faults(List.of(name + ":1:1: expected text; there are null characters in it"));
        }
        Revision revision = name.toLowerCase(Locale.ROOT).endsWith(".csv")
                ? CsvFormat.parse(name, text)
                : YamlFormat.parse(name, text);
        Matcher trailer = TRAILER.matcher(text.stripTrailing());
        if (!trailer.find()) {
            return new Parsed(revision, false);
        }
        if (Long.parseLong(trailer.group(1)) != revision.hosts().size()) {
            throw new Faults(List.of(name + ":" + text.lines().count() + ":1: the last line tells "
                    + trailer.group(1) + " hosts, and " + revision.hosts().size()
                    + " stand in the file: expected them to be as many"));
        }
        return new Parsed(revision, true);
    }

    /** The hosts as a file, CSV or a YAML list, sealed by its last line. */
    public static String write(Revision revision, boolean csv) {
        return write(revision, csv, true);
    }

    /** As above; {@code sealed}: with the last line that tells how many they are. */
    public static String write(Revision revision, boolean csv, boolean sealed) {
        StringBuilder out = new StringBuilder();
        if (csv) {
            out.append(String.join(",", Rows.FIELDS)).append('\n');
        } else {
            out.append("hosts:\n");
        }
        for (Entry entry : revision.hosts().values()) {
            List<String> values = List.of(
                    entry.name(),
                    entry.address(),
                    "" + entry.port(),
                    entry.protocol(),
                    "" + entry.destination(),
                    entry.zone(),
                    entry.kind(),
                    number(entry.rate()),
                    entry.state().name().toLowerCase(Locale.ROOT));
            if (csv) {
                out.append(String.join(
                                ",", values.stream().map(Inventory::quoted).toList()))
                        .append('\n');
            } else {
                for (int i = 0; i < values.size(); i++) {
                    out.append(i == 0 ? "  - " : "    ")
                            .append(Rows.FIELDS.get(i))
                            .append(": '")
                            .append(values.get(i).replace("'", "''"))
                            .append("'\n");
                }
            }
        }
        int many = revision.hosts().size();
        if (!sealed) {
            return out.toString();
        }
        return out.append("# end of inventory: ")
                .append(many)
                .append(" hosts\n")
                .toString();
    }

    private static String number(double rate) {
        return rate == Math.rint(rate) ? Long.toString((long) rate) : Double.toString(rate);
    }

    private static String quoted(String value) {
        return value.matches("[^,;\"\\r\\n#]*") ? value : '"' + value.replace("\"", "\"\"") + '"';
    }
}
