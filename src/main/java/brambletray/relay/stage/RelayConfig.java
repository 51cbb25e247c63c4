package brambletray.relay.stage;

import brambletray.relay.emulator.PartnerSpec;
import brambletray.relay.script.Script;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;

/** The configuration that the platform would give a relay of one script; its form is that of EDGE_CONFIG. */
final class RelayConfig {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int ATTEMPTS = 12;
    private static final int CONNECT_MS = 1_500;
    private static final int ADVICE_MS = 3_000;
    private static final int DRAIN_MS = 250;

    private RelayConfig() {}

    /** {@code known}: the list of hosts as last had, as JSON. */
    static String json(
            Script script,
            int relay,
            String listen,
            String discovery,
            long seed,
            int sockets,
            double diskMb,
            String known) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            out.writeStringField("name", "n" + relay);
            out.writeStringField("listen", listen);
            out.writeStringField("discovery", discovery);
            out.writeStringField("seed", Long.toHexString(seed));
            if (speaksMqtt(script)) {
                out.writeStringField("mqtt", mqttFile(relay));
            }
            out.writeObjectFieldStart("limits");
            out.writeNumberField("sockets", sockets);
            out.writeNumberField("disk_mb", diskMb);
            out.writeEndObject();
            out.writeFieldName("known");
            out.writeRawValue(known);
            out.writeFieldName("settings");
            settings(out, script, relay);
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("a string cannot fail to be written", e);
        }
        return text.toString();
    }

    /**
     * True when some partner or client speaks MQTT: relays then need a file for it, beside their
     * configuration.
     */
    static boolean speaksMqtt(Script script) {
        return script.traffic().mqttShare() > 0
                || script.partners().stream()
                        .flatMap(partnerSpec -> partnerSpec.endpoints().stream())
                        .anyMatch(endpointSpec -> !endpointSpec.protocol().equals("http"));
    }

    static String mqttFile(int relay) {
        return "relay-" + relay + "-mqtt.yaml";
    }

    private static void settings(JsonGenerator out, Script script, int relay) throws IOException {
        Script.Fleet fleet = script.fleet();
        List<String> kinds =
                script.partners().stream().map(PartnerSpec::kind).distinct().toList();
        out.writeStartObject();
        out.writeNumberField("rank", relay);
        out.writeNumberField("balancers", fleet.relays());
        out.writeNumberField("zone", relay % fleet.zones().size());
        texts(out, "localities", fleet.zones());
        texts(out, "kinds", kinds);
        out.writeStringField("weights", script.fleet().weights());
        out.writeObjectFieldStart("allowed");
        out.writeBooleanField("cancel", true);
        out.writeBooleanField("second-copies", true);
        out.writeBooleanField("retry-after", true);
        out.writeNumberField("max-retry-after", ADVICE_MS);
        out.writeNumberField("connect-timeout", CONNECT_MS);
        out.writeNumberField(
                "keepalive",
                of(script, partnerSpec -> partnerSpec.connections().idle() / 1e6)
                        .min()
                        .orElse(0));
        out.writeNumberField("most-tries", ATTEMPTS);
        out.writeNumberField("open-cap", fleet.open());
        out.writeNumberField("max-streams", 1);
        out.writeEndObject();
        out.writeObjectFieldStart("family-info");
        out.writeNumberField("call-slots", fleet.slots());
        out.writeStringField("late", "linear");
        out.writeNumberField("refusal-cost", 0.03);
        out.writeArrayFieldStart("kind-apart");
        for (String kind : kinds) {
            out.writeBoolean(script.partners().stream()
                    .filter(partnerSpec -> partnerSpec.kind().equals(kind))
                    .allMatch(PartnerSpec::apart));
        }
        out.writeEndArray();
        out.writeArrayFieldStart("bundle-max");
        for (String kind : kinds) {
            out.writeNumber(script.partners().stream()
                    .filter(partnerSpec -> partnerSpec.kind().equals(kind))
                    .mapToInt(PartnerSpec::bundle)
                    .min()
                    .orElse(1));
        }
        out.writeEndArray();
        out.writeArrayFieldStart("carriage");
        for (int zone = 0; zone < fleet.zones().size(); zone++) {
            out.writeNumber(0.0);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeObjectFieldStart("rules");
        out.writeNumberField("answer-slack", 20);
        out.writeNumberField("stop-sending-within", DRAIN_MS);
        out.writeNumberField(
                "fall-multiple",
                of(script, partnerSpec -> partnerSpec.cold().multiple()).min().orElse(1));
        out.writeNumberField(
                "tip-after",
                of(script, partnerSpec -> partnerSpec.cold().fall() / 1e6).min().orElse(1));
        out.writeNumberField(
                "cold-from",
                of(script, partnerSpec -> partnerSpec.cold().from()).min().orElse(1));
        out.writeNumberField(
                "cold",
                of(script, partnerSpec -> partnerSpec.cold().warm() / 1e6).max().orElse(0));
        out.writeEndObject();
        out.writeObjectFieldStart("deductions");
        out.writeNumberField("handshake", 0.06);
        out.writeNumberField("cross-zone", 0.03);
        out.writeNumberField("waste", 0.05);
        out.writeEndObject();
        out.writeArrayFieldStart("profiles");
        boolean byZone = script.partners().stream()
                .anyMatch(partnerSpec -> partnerSpec.keys().byZone());
        for (Script.MessageClass messageClass : script.classes()) {
            out.writeStartObject();
            out.writeStringField("name", messageClass.name());
            out.writeNumberField("aim", messageClass.aim());
            out.writeNumberField("hard-limit", messageClass.limit());
            out.writeNumberField("worth", messageClass.worth());
            out.writeNumberField("late-worth", messageClass.lateWorth());
            out.writeStringField(
                    "semantics",
                    switch (messageClass.effect()) {
                        case "safe" -> "retryable";
                        case "unsafe" -> "fragile";
                        default -> "dedup";
                    });
            out.writeStringField("group", byZone ? "zone" : "all");
            out.writeNumberField("window", messageClass.window());
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    private static DoubleStream of(Script script, ToDoubleFunction<PartnerSpec> figure) {
        return script.partners().stream().mapToDouble(figure);
    }

    private static void texts(JsonGenerator out, String name, List<String> all) throws IOException {
        out.writeArrayFieldStart(name);
        for (String text : all) {
            out.writeString(text);
        }
        out.writeEndArray();
    }
}
