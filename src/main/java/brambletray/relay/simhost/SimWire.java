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
        for (Wire.Fields fields : items) {
            Relay.Listing listing = switch (fields.text("state")) {
                case "SERVING" -> Relay.Listing.READY;
                case "DRAINING" -> Relay.Listing.DRAINING;
                case "DELETED" -> Relay.Listing.GONE;
                default -> throw new Wire.Malformed("unknown state '" + fields.text("state") + "'");
            };
            all.add(new Relay.Endpoint(
                    fields.whole("host"),
                    (int) fields.whole("region-part", 0),
                    (int) fields.whole("family-type", 0),
                    fields.whole("owner-no", 0),
                    listing,
                    fields.number("size", 1)));
        }
        return all;
    }

    /** Decodes an event of one instance; null where the event asks nothing of the module. */
    static Relay.Event event(String verb, Wire.Fields fields) throws Wire.Malformed {
        switch (verb) {
            case "Accept":
                return new Relay.Accepted(
                        fields.text("ref"),
                        (int) fields.whole("cls", 0),
                        (int) fields.whole("realm", 0),
                        fields.text("route-key", null),
                        fields.time("deadline"),
                        fields.whole("to-exchange", 0));
            case "Verdict": {
                Relay.Outcome outcome = outcome(fields.text("rc"));
                Wire.Fields report = fields.object("report");
                long wait = outcome == Relay.Outcome.FULL ? Math.max(0, fields.time("detail", 0)) : 0;
                return new Relay.AttemptEnded(
                        fields.text("ref"),
                        (int) fields.whole("attempt", 0),
                        fields.whole("host"),
                        outcome,
                        fields.flag("finished"),
                        wait,
                        fields.time("spent", 0),
                        report.number("x0", -1),
                        report.number("x1", -1));
            }
            case "TickDue":
                return new Relay.TimerFired();
            case "Dropped":
                return new Relay.Withdrawn(fields.text("ref"));
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
            if (action instanceof Relay.Send send) {
                head("Issue", instance, send.id());
                out.writeNumberField("host", send.endpoint());
                time("patience", send.timeout());
            } else if (action instanceof Relay.Refuse refuse) {
                head("Deny", instance, refuse.id());
                time("come-back", refuse.retryAfter());
            } else if (action instanceof Relay.Fail fail) {
                head("EndFailed", instance, fail.id());
            } else if (action instanceof Relay.Cancel cancel) {
                head("CallOff", instance, cancel.id());
                out.writeNumberField("attempt", cancel.attempt());
            } else if (action instanceof Relay.CloseIdleConnections close) {
                head("DropConns", instance, null);
                out.writeNumberField("host", close.endpoint());
            } else if (action instanceof Relay.SetTimer wake) {
                head("Remind", instance, null);
                out.writeNumberField("label", label = (label + 1) & 0xffff);
                time("sleep-for", wake.delay());
            } else if (action instanceof Relay.Log log) {
                head("NoteDown", instance, null);
                out.writeStringField("message", log.text());
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
