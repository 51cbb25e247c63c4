package brambletray.relay.simhost;

import brambletray.relay.control.Control;
import brambletray.relay.control.Relay;
import brambletray.relay.wire.Wire;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Hosts one {@link Control} an instance on the simulator's wire. It decides nothing. */
public final class SimHost {
    private final Map<Integer, Control> relays = new TreeMap<>();
    private final Map<Long, List<Relay.Endpoint>> rosters = new TreeMap<>();
    /** Events of the current batch, by instance, in the order in which instances were first named. */
    private final Map<Integer, List<Relay.Event>> turn = new java.util.LinkedHashMap<>();

    private final SimWire.Writer writer;
    private long now;
    private long frame;
    private boolean inBatch;

    private SimHost(OutputStream out) throws IOException {
        writer = new SimWire.Writer(out);
    }

    /** Serves until input ends; 0 on a clean end, 1 on a line that breaks the wire's description. */
    public static int serve(InputStream in, OutputStream out, PrintStream err) throws IOException {
        SimHost host = new SimHost(new BufferedOutputStream(out, 1 << 16));
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        long number = 0;
        try {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                number++;
                if (!line.isBlank()) {
                    host.line(line);
                }
            }
        } catch (Wire.Malformed malformed) {
            err.println("line " + number + ": " + malformed.getMessage());
            return 1;
        }
        if (host.inBatch) {
            err.println("line " + number + ": input ended inside a batch");
            return 1;
        }
        return 0;
    }

    private void line(String line) throws IOException {
        Wire.Fields fields = Wire.decode(line);
        String verb = fields.text("verb");
        if (!inBatch) {
            if (!verb.equals("Batch")) {
                throw new Wire.Malformed("'" + verb + "' outside a batch");
            }
            now = fields.time("sim-time");
            frame = fields.whole("frame");
            inBatch = true;
            return;
        }
        switch (verb) {
            case "Batch" -> throw new Wire.Malformed("'Batch' inside a batch");
            case "Eob" -> reply();
            case "Table" -> rosters.put(fields.whole("roster-id"), SimWire.endpoints(fields.objects("items")));
            case "Start" -> start(instance(fields), fields);
            case "Down" -> {
                relays.remove(instance(fields));
                turn.remove(instance(fields));
            }
            case "Membership" -> members(fields);
            default -> {
                Relay.Event event = SimWire.event(verb, fields);
                List<Relay.Event> events = events(instance(fields));
                if (event != null) {
                    events.add(event);
                }
            }
        }
    }

    private static int instance(Wire.Fields fields) throws Wire.Malformed {
        return (int) fields.whole("i");
    }

    private List<Relay.Event> events(int instance) throws Wire.Malformed {
        if (!relays.containsKey(instance)) {
            throw new Wire.Malformed("instance " + instance + " never started");
        }
        return turn.computeIfAbsent(instance, key -> new ArrayList<>());
    }

    private void start(int instance, Wire.Fields fields) throws Wire.Malformed {
        long seed = fields.whole("nonce64");
        relays.put(instance, new Control(seed, Wire.settings(fields.object("settings"))));
        turn.remove(instance);
        events(instance);
    }

    private void members(Wire.Fields fields) throws Wire.Malformed {
        List<Relay.Event> events = events(instance(fields));
        String mode = fields.text("mode");
        if (mode.equals("failed")) {
            return;
        }
        List<Relay.Endpoint> items = rosters.get(fields.whole("roster-id"));
        if (items == null) {
            throw new Wire.Malformed("unknown roster-id " + fields.whole("roster-id"));
        }
        Relay.ListKind kind = switch (mode) {
            case "delta" -> Relay.ListKind.CHANGES;
            case "full", "cached" -> Relay.ListKind.FULL;
            default -> throw new Wire.Malformed("unknown mode '" + mode + "'");
        };
        events.add(new Relay.EndpointsListed(kind, items));
    }

    private void reply() throws IOException {
        for (Map.Entry<Integer, List<Relay.Event>> entry : turn.entrySet()) {
            for (Relay.Action action : relays.get(entry.getKey()).turn(now, entry.getValue())) {
                writer.action(entry.getKey(), action);
            }
        }
        turn.clear();
        inBatch = false;
        writer.finished(frame);
    }
}
