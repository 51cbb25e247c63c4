package brambletray.relay.script;

import brambletray.relay.emulator.PartnerSpec;
import brambletray.relay.emulator.Step;
import java.util.List;

/**
 * A scripted incident: partners, what goes wrong with them and when, the traffic, and the relays' settings.
 * Times in ns unless named otherwise.
 */
public record Script(
        String name,
        String about,
        long seed,
        long length,
        Fleet fleet,
        Traffic traffic,
        List<MessageClass> classes,
        List<PartnerSpec> partners,
        List<Step> steps,
        Check check) {

    /**
     * The relays: how many, calls out at once and messages held by each, and the zones they stand in by
     * turns; {@code weights}: what the list tells of rates, none, exact or rough.
     */
    public record Fleet(
            int relays,
            int slots,
            int open,
            List<String> zones,
            long sameZone,
            long crossZone,
            double jitter,
            String weights) {}

    /**
     * What is handed in: messages a second; {@code swing}: share by which a wave of this period moves it;
     * {@code mqttShare}: the share of clients that hand in by MQTT.
     */
    public record Traffic(
            double perSecond,
            double swing,
            long period,
            long from,
            long until,
            int retries,
            double honour,
            int bodyBytes,
            double mqttShare) {
        /** Messages a second at this time. */
        public double rateAt(long now) {
            if (now < from || now >= until) {
                return 0;
            }
            return perSecond * (1 + swing * Math.sin(2 * Math.PI * (now - from) / period));
        }

        /** The most that {@link #rateAt} comes to. */
        public double peak() {
            return perSecond * (1 + swing);
        }
    }

    /** A class of message; {@code effect}: safe, keyed or unsafe; times in ms; {@code worth} of one. */
    public record MessageClass(
            String name,
            double share,
            long aim,
            long limit,
            String effect,
            long window,
            double lateWorth,
            double worth) {}

    /** What {@code emulate check} loads each endpoint with; calls a second, and the bound in per cent. */
    public record Check(double perSecond, double boundPercent, int connections) {}

    /** The same script with the traffic ended at this time, if it goes on for longer; ns. */
    public Script cutTo(long until) {
        Traffic t = traffic;
        return new Script(
                name,
                about,
                seed,
                Math.min(length, until),
                fleet,
                new Traffic(
                        t.perSecond(),
                        t.swing(),
                        t.period(),
                        t.from(),
                        Math.min(t.until(), until),
                        t.retries(),
                        t.honour(),
                        t.bodyBytes(),
                        t.mqttShare()),
                classes,
                partners,
                steps,
                check);
    }

    /** Endpoints of all partners. */
    public int endpoints() {
        return partners.stream()
                .mapToInt(partnerSpec -> partnerSpec.endpoints().size())
                .sum();
    }
}
