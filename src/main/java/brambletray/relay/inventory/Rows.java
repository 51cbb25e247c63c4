package brambletray.relay.inventory;

import brambletray.common.yaml.Faults;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the hosts of a file one by one, whatever its format, and notes every fault with its place; all of
 * them are told together.
 */
final class Rows {
    static final List<String> FIELDS =
            List.of("name", "address", "port", "protocol", "destination", "zone", "kind", "rate", "state");
    private static final Set<String> PROTOCOLS = Set.of("http", "mqtt", "mqtt-qos2", "mqtt-3.1.1", "mqtt-3.1.1-qos2");
    private static final int FAULTS_MOST = 100;
    private static final int HOSTS_MOST = 200_000;
    /** Calls a second of a host that tells none: the relay learns what it takes from there. */
    private static final double RATE = 10;

    /** A value as it stands in a file; line and column from 1. */
    record Cell(String text, int line, int column) {}

    private record Fault(int line, int column, String text) {}

    private final String file;
    private final List<Fault> faults = new ArrayList<>();
    private final Map<String, Entry> hosts = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, String> places = new HashMap<>();
    private final Map<Long, String> destinations = new HashMap<>();

    Rows(String file) {
        this.file = file;
    }

    void fault(int line, int column, String text) {
        faults.add(new Fault(line, column, text));
    }

    /** One host; {@code line}: where it begins, for fields that are not there. */
    void row(int line, Map<String, Cell> cells) {
        int before = faults.size();
        String name = text(cells, "name", line, null);
        if (name != null && !name.matches(Entry.NAME)) {
            wrong(cells, "name", line, "letters, digits, '.', '_', ':' and '-', up to 200");
        }
        String address = text(cells, "address", line, null);
        if (address != null && !isAddress(address)) {
            wrong(cells, "address", line, "an IP address, for names are not looked up");
        }
        int port = (int) number(cells, "port", line, 0, 1, 65_535, true);
        String protocol = text(cells, "protocol", line, "http");
        if (protocol != null && !PROTOCOLS.contains(protocol)) {
            wrong(cells, "protocol", line, "one of " + String.join(", ", new java.util.TreeSet<>(PROTOCOLS)));
        }
        String told = text(cells, "destination", line, null);
        long destination = told == null ? -1 : Destinations.number(told);
        if (told != null && destination < 0) {
            wrong(
                    cells,
                    "destination",
                    line,
                    "a number up to " + Destinations.NUMBER_MOST + ", or a name that begins with a letter");
        } else if (told != null
                && !told.equals(destinations.computeIfAbsent(destination, d -> told))
                && !told.matches("[0-9]+")) {
            wrong(
                    cells,
                    "destination",
                    line,
                    "another name: it cannot be told from '" + destinations.get(destination) + "'");
        }
        String zone = text(cells, "zone", line, "");
        String kind = text(cells, "kind", line, "");
        double rate = number(cells, "rate", line, RATE, 0.001, 1e9, false);
        String state = text(cells, "state", line, "ready");
        if (!"ready".equals(state) && !"draining".equals(state)) {
            wrong(cells, "state", line, "ready or draining");
        }
        if (faults.size() > before) {
            return;
        }
        Entry entry = new Entry(
                name,
                address,
                port,
                protocol,
                destination,
                zone,
                kind,
                rate,
                state.equals("ready") ? Entry.State.READY : Entry.State.DRAINING);
        Integer first = lines.putIfAbsent(name, line);
        String other = places.putIfAbsent(entry.address() + " " + port, name);
        if (first != null) {
            wrong(cells, "name", line, "a name of its own: line " + first + " has it too");
        } else if (other != null) {
            wrong(cells, "address", line, "an address and port of its own: '" + other + "' has them too");
        } else if (hosts.size() >= HOSTS_MOST) {
            fault(line, 1, "expected no more than " + HOSTS_MOST + " hosts");
        }
        hosts.put(name, entry);
    }

    private static boolean isAddress(String text) {
        return text.matches("(?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)")
                || io.netty.util.NetUtil.isValidIpV6Address(text);
    }

    private String text(Map<String, Cell> cells, String field, int line, String absent) {
        Cell cell = cells.get(field);
        if (cell == null || cell.text().isEmpty()) {
            if (absent == null) {
                fault(
                        cell == null ? line : cell.line(),
                        cell == null ? 1 : cell.column(),
                        field + ": expected a value");
            }
            return absent;
        }
        return cell.text();
    }

    private double number(
            Map<String, Cell> cells, String field, int line, double absent, double least, double most, boolean whole) {
        String text = text(cells, field, line, whole ? null : "");
        if (text == null || text.isEmpty()) {
            return absent;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most && (!whole || value == Math.rint(value))) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Told below, as any other value that makes no sense.
        }
        wrong(
                cells,
                field,
                line,
                whole
                        ? "a whole number from " + (long) least + " to " + (long) most
                        : "a number from " + least + " to " + (long) most);
        return absent;
    }

    private void wrong(Map<String, Cell> cells, String field, int line, String expected) {
        Cell cell = cells.get(field);
        fault(
                cell == null ? line : cell.line(),
                cell == null ? 1 : cell.column(),
                field + ": expected " + expected + ", not '" + (cell == null ? "" : cell.text()) + "'");
    }

    /** All hosts, if there is no fault in the whole file. */
    Revision done() throws Faults {
        if (hosts.isEmpty() && faults.isEmpty()) {
            fault(1, 1, "expected at least one host: a file without any is taken for one that was cut");
        }
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column));
            throw new Faults(faults.stream()
                    .limit(FAULTS_MOST)
                    .map(fault -> file + ":" + fault.line() + ":" + fault.column() + ": " + fault.text())
                    .toList());
        }
        return new Revision(hosts);
    }
}
