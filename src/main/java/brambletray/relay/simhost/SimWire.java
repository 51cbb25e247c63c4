package brambletray.relay.simhost;

import brambletray.relay.control.Relay;
import brambletray.relay.wire.Wire;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** The simulator's wire: one JSON object a line, to and from the types of {@link Relay}. */
final class SimWire {
    private static final JsonFactory JSON = new JsonFactory();

    private SimWire() {}

    static Relay.Outcome outcome(String word) throws Wire.Malformed {
        return switch (word) {
            case "S" -> Relay.Outcome.OK;
            case "E" -> Relay.Outcome.ERROR;
            case "F" -> Relay.Outcome.FULL;
            case "T" -> Relay.Outcome.TIMEOUT;
            case "C" -> Relay.Outcome.CONNECT_FAILED;
            case "R" -> Relay.Outcome.RESET;
            case "X" -> Relay.Outcome.CANCELLED;
            case "N" -> Relay.Outcome.NOT_SENT;
            default -> throw new Wire.Malformed("unknown outcome '" + word + "'");
        };
    }

    static List<Relay.Endpoint> endpoints(List<Wire.Fields> items) throws Wire.Malformed {
        List<Relay.Endpoint> all = new ArrayList<>();
        for (Wire.Fields e : items) {
            Relay.Listing listing = switch (e.text("state")) {
                case "SERVING" -> Relay.Listing.READY;
                case "DRAINING" -> Relay.Listing.DRAINING;
                case "DELETED" -> Relay.Listing.GONE;
                default -> throw new Wire.Malformed("unknown state '" + e.text("state") + "'");
            };
            all.add(new Relay.Endpoint(
                    e.whole("host"),
                    (int) e.whole("region-part", 0),
                    (int) e.whole("family-type", 0),
                    e.whole("owner-no", 0),
                    listing,
                    e.number("size", 1)));
        }
        return all;
    }

    /** Decodes an event of one instance; null where the event asks nothing of the module. */
    static Relay.Event event(String verb, Wire.Fields f) throws Wire.Malformed {
        switch (verb) {
            case "Accept":
                return new Relay.Accepted(
                        f.text("ref"),
                        (int) f.whole("cls", 0),
                        (int) f.whole("realm", 0),
                        f.text("route-key", null),
                        f.time("deadline"),
                        f.whole("to-exchange", 0));
            case "Verdict": {
                Relay.Outcome outcome = outcome(f.text("rc"));
                Wire.Fields report = f.object("report");
                long wait = outcome == Relay.Outcome.FULL ? Math.max(0, f.time("detail", 0)) : 0;
                return new Relay.Ended(
                        f.text("ref"),
                        (int) f.whole("attempt", 0),
                        f.whole("host"),
                        outcome,
                        f.flag("finished"),
                        wait,
                        f.time("spent", 0),
                        report.number("x0", -1),
                        report.number("x1", -1));
            }
            case "TickDue":
                return new Relay.Due();
            case "Dropped":
                return new Relay.Withdrawn(f.text("ref"));
            case "Pong", "Heard", "Started":
                return null;
            default:
                throw new Wire.Malformed("unknown verb '" + verb + "'");
        }
    }

    /** Writes replies to a stream. */
    static final class Writer {
        private final JsonGenerator out;
        private int label;

        Writer(OutputStream stream) throws IOException {
            out = JSON.createGenerator(stream);
            out.setRootValueSeparator(null);
        }

        void finished(long frame) throws IOException {
            out.writeStartObject();
            out.writeStringField("verb", "Finished");
            out.writeNumberField("frame", frame);
            endLine();
            out.flush();
        }

        void action(int instance, Relay.Action action) throws IOException {
            out.writeStartObject();
            if (action instanceof Relay.Send a) {
                head("Issue", instance, a.id());
                out.writeNumberField("host", a.endpoint());
                time("patience", a.timeout());
            } else if (action instanceof Relay.Refuse a) {
                head("Deny", instance, a.id());
                time("come-back", a.retryAfter());
            } else if (action instanceof Relay.Fail a) {
                head("EndFailed", instance, a.id());
            } else if (action instanceof Relay.Cancel a) {
                head("CallOff", instance, a.id());
                out.writeNumberField("attempt", a.attempt());
            } else if (action instanceof Relay.Close a) {
                head("DropConns", instance, null);
                out.writeNumberField("host", a.endpoint());
            } else if (action instanceof Relay.Wake a) {
                head("Remind", instance, null);
                out.writeNumberField("label", label = (label + 1) & 0xffff);
                time("sleep-for", a.after());
            } else if (action instanceof Relay.Log a) {
                head("NoteDown", instance, null);
                out.writeStringField("message", a.text());
            }
            endLine();
        }

        private void head(String verb, int instance, String id) throws IOException {
            out.writeStringField("verb", verb);
            out.writeNumberField("i", instance);
            if (id != null) {
                out.writeStringField("ref", id);
            }
        }

        private void time(String name, long micros) throws IOException {
            out.writeNumberField(name, micros / 1000.0);
        }

        private void endLine() throws IOException {
            out.writeEndObject();
            out.writeRaw('\n');
        }
    }
}
