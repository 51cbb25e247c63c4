package brambletray.relay.wire;

import brambletray.relay.control.Relay;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * JSON objects with typed access to their fields, and the settings that the simulator and the platform tell
 * alike.
 */
public final class Wire {
    private static final JsonFactory JSON = new JsonFactory();

    private Wire() {}

    /** A line that is not what the wire's description allows. */
    public static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;

        /** Creates it with what is wrong with the line. */
        public Malformed(String fault) {
            super(fault);
        }
    }

    /** One decoded object with typed access to its fields; times leave it in microseconds. */
    public record Fields(Map<String, Object> values) {
        private Object need(String name) throws Malformed {
            Object value = values.get(name);
            if (value == null) {
                throw new Malformed("missing field '" + name + "'");
            }
            return value;
        }

        /** A string that must be there. */
        public String text(String name) throws Malformed {
            if (need(name) instanceof String s) {
                return s;
            }
            throw new Malformed("field '" + name + "' is not a string");
        }

        /** A string, or {@code absent} where there is no such field. */
        public String text(String name, String absent) throws Malformed {
            return values.get(name) == null ? absent : text(name);
        }

        /** A number that must be there. */
        public double number(String name) throws Malformed {
            if (need(name) instanceof Number n) {
                return n.doubleValue();
            }
            throw new Malformed("field '" + name + "' is not a number");
        }

        /** A number, or {@code absent} where there is no such field. */
        public double number(String name, double absent) throws Malformed {
            return values.get(name) == null ? absent : number(name);
        }

        /** A whole number that must be there. */
        public long whole(String name) throws Malformed {
            if (need(name) instanceof Number n && n.doubleValue() == Math.rint(n.doubleValue())) {
                return n.longValue();
            }
            throw new Malformed("field '" + name + "' is not a whole number");
        }

        /** A whole number, or {@code absent} where there is no such field. */
        public long whole(String name, long absent) throws Malformed {
            return values.get(name) == null ? absent : whole(name);
        }

        /** A time that must be there, converted from ms to us. */
        public long time(String name) throws Malformed {
            return Math.round(number(name) * 1000.0);
        }

        /** A time converted from ms to us; {@code absentMillis} where there is no such field. */
        public long time(String name, double absentMillis) throws Malformed {
            return Math.round(number(name, absentMillis) * 1000.0);
        }

        /** True or false; false where there is no such field. */
        public boolean flag(String name) throws Malformed {
            Object value = values.get(name);
            if (value == null || value instanceof Boolean) {
                return value != null && (Boolean) value;
            }
            throw new Malformed("field '" + name + "' is not true or false");
        }

        /** An object; an empty one where there is no such field. */
        public Fields object(String name) throws Malformed {
            Object value = values.get(name);
            return value == null ? new Fields(Map.of()) : asFields(value, name);
        }

        /** A list of objects; empty where there is no such field. */
        public List<Fields> objects(String name) throws Malformed {
            List<Fields> all = new ArrayList<>();
            for (Object value : list(name)) {
                all.add(asFields(value, name));
            }
            return all;
        }

        /** A list; empty where there is no such field. */
        public List<?> list(String name) throws Malformed {
            Object value = values.get(name);
            if (value == null || value instanceof List) {
                return value == null ? List.of() : (List<?>) value;
            }
            throw new Malformed("field '" + name + "' is not an array");
        }

        @SuppressWarnings("unchecked")
        private static Fields asFields(Object value, String name) throws Malformed {
            if (value instanceof Map) {
                return new Fields((Map<String, Object>) value);
            }
            throw new Malformed("field '" + name + "' is not an object");
        }
    }

    /** Decodes one line. */
    public static Fields decode(String line) throws Malformed {
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("not a JSON object");
            }
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new Malformed("more than one value on the line");
            }
            return Fields.asFields(value, "line");
        } catch (Malformed malformed) {
            throw malformed;
        } catch (IOException e) {
            throw new Malformed(
                    "bad JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static Object value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT: {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, value(parser));
                }
                return map;
            }
            case START_ARRAY: {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser));
                }
                return list;
            }
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            case VALUE_NULL:
                return null;
            default:
                throw new Malformed("unexpected " + parser.currentToken());
        }
    }

    /** The settings of the decision module from the wire's first message. */
    public static Relay.Settings settings(Fields s) throws Malformed {
        Fields info = s.object("family-info");
        Fields allowed = s.object("allowed");
        Fields rules = s.object("rules");
        Fields prices = s.object("deductions");
        List<Relay.MessageClass> classes = new ArrayList<>();
        for (Fields c : s.objects("profiles")) {
            classes.add(new Relay.MessageClass(
                    c.text("name", ""),
                    c.time("aim"),
                    c.time("hard-limit"),
                    c.number("worth", 1),
                    c.number("late-worth", 0),
                    effect(c.text("semantics")),
                    c.text("group", "all").equals("zone"),
                    c.time("window", 0),
                    c.flag("sequential")));
        }
        List<Relay.Tenant> tenants = new ArrayList<>();
        for (Fields t : s.objects("tenants")) {
            tenants.add(new Relay.Tenant(t.text("name", ""), t.number("quota-per-s", 0)));
        }
        List<Relay.Kind> kinds = new ArrayList<>();
        List<?> apart = info.list("kind-apart");
        List<?> bundles = info.list("bundle-max");
        for (int i = 0; i < s.list("kinds").size(); i++) {
            boolean isApart = i < apart.size() && Boolean.TRUE.equals(apart.get(i));
            int bundle = i < bundles.size() && bundles.get(i) instanceof Number n ? n.intValue() : 1;
            kinds.add(new Relay.Kind(isApart, Math.max(1, bundle)));
        }
        List<Double> fees = new ArrayList<>();
        for (Object fee : info.list("carriage")) {
            fees.add(fee instanceof Number n ? n.doubleValue() : 0.0);
        }
        return new Relay.Settings(
                (int) s.whole("rank", 0),
                (int) s.whole("balancers", 1),
                (int) s.whole("zone", 0),
                info.text("late", "linear").equals("halving"),
                s.number("over-share-worth", 1),
                weights(s.text("weights", "none")),
                classes,
                tenants,
                kinds,
                new Relay.Allowed(
                        (int) info.whole("call-slots", 1),
                        (int) allowed.whole("open-cap", 1000),
                        (int) allowed.whole("most-tries", 1),
                        allowed.flag("second-copies"),
                        allowed.flag("cancel"),
                        (int) allowed.whole("max-streams", 1),
                        allowed.time("connect-timeout", 0),
                        allowed.time("keepalive", 0),
                        allowed.flag("retry-after") ? allowed.time("max-retry-after", 0) : 0),
                new Relay.Rules(
                        rules.time("stop-sending-within", 0),
                        rules.number("fall-multiple", 1),
                        rules.time("tip-after", 1),
                        rules.number("cold-from", 1),
                        rules.time("cold", 0),
                        rules.time("key-rest", 0),
                        rules.time("answer-slack", 0)),
                new Relay.Prices(
                        info.number("refusal-cost", 0),
                        prices.number("handshake", 0),
                        prices.number("cross-zone", 0),
                        prices.number("waste", 0),
                        fees));
    }

    private static Relay.Effect effect(String word) throws Malformed {
        return switch (word) {
            case "retryable" -> Relay.Effect.SAFE;
            case "dedup" -> Relay.Effect.KEYED;
            case "fragile" -> Relay.Effect.UNSAFE;
            default -> throw new Malformed("unknown semantics '" + word + "'");
        };
    }

    private static Relay.Weights weights(String word) {
        return switch (word) {
            case "nominal" -> Relay.Weights.NOMINAL;
            case "rough" -> Relay.Weights.ROUGH;
            default -> Relay.Weights.NONE;
        };
    }
}
