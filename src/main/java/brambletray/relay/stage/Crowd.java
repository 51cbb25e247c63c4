package brambletray.relay.stage;

import brambletray.common.runtime.Machine;
import brambletray.relay.emulator.PartnerSpec;
import brambletray.relay.script.Script;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clients: they hand lines in by Poisson arrivals whatever becomes of earlier ones, over HTTP or MQTT,
 * and come again as the script has it. A front deals them out over the relays that it holds to be alive.
 */
final class Crowd {
    /** A client waits so long before it comes again on its own; ms. */
    private static final int BACKOFF_LEAST_MS = 720;

    private static final int BACKOFF_MOST_MS = 1_300;
    private static final int ADVICE_MOST_MS = 3_000;

    private final Machine machine;
    private final Script script;
    private final Score score;
    private final LongSupplier world;
    private final SplittableRandom random;
    private final Clients http;
    /** Null where the script has no clients by MQTT. */
    private final MqttClients mqtt;
    /** By relay: whether the front holds it to be alive. */
    private final List<Boolean> alive = new ArrayList<>();

    private final double[] partnerShares;
    private final double[] classShares;
    private int next;
    private long made;
    private boolean stopped;

    /** {@code world}: the world's time, ns; {@code seed}: for arrivals and habits. */
    Crowd(Machine machine, Script script, Score score, LongSupplier world, long seed) {
        this.machine = machine;
        this.script = script;
        this.score = score;
        this.world = world;
        this.random = new SplittableRandom(seed);
        this.http = new HttpClients(machine, script);
        this.mqtt = script.traffic().mqttShare() > 0 ? new MqttClients(machine, script) : null;
        partnerShares = sums(
                script.partners().stream().mapToDouble(PartnerSpec::traffic).toArray());
        classShares = sums(script.classes().stream()
                .mapToDouble(Script.MessageClass::share)
                .toArray());
    }

    private static double[] sums(double[] shares) {
        double[] sums = new double[shares.length];
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += shares[i];
            sums[i] = sum;
        }
        return sums;
    }

    private int draw(double[] sums) {
        double at = random.nextDouble() * sums[sums.length - 1];
        int i = 0;
        while (i < sums.length - 1 && sums[i] <= at) {
            i++;
        }
        return i;
    }

    /** A relay that clients may use, by its number; {@code mqttAddress} null where it speaks none. */
    void relay(int number, InetSocketAddress address, InetSocketAddress mqttAddress) {
        while (alive.size() <= number) {
            alive.add(true);
        }
        http.relay(number, address);
        if (mqtt != null) {
            mqtt.relay(number, mqttAddress);
        }
    }

    /** The front has noticed that a relay is dead, or serves again. */
    void alive(int number, boolean is) {
        alive.set(number, is);
    }

    /** What clients by MQTT were told; null where there are none. */
    MqttClients mqtt() {
        return mqtt;
    }

    void begin() {
        arrival();
    }

    void stop() {
        stopped = true;
        http.stop();
        if (mqtt != null) {
            mqtt.stop();
        }
    }

    /** How many lines have been asked for. */
    long made() {
        return made;
    }

    /** Poisson arrivals at a rate that moves: candidates at the peak rate, of which some are dropped. */
    private void arrival() {
        Script.Traffic traffic = script.traffic();
        double peak = traffic.peak();
        if (peak <= 0) {
            return;
        }
        long gap = Math.max(1, (long) (-Math.log(1 - random.nextDouble()) / peak * 1e9));
        machine.loop()
                .schedule(
                        () -> {
                            long now = world.getAsLong();
                            if (stopped || now >= traffic.until()) {
                                return;
                            }
                            if (random.nextDouble() * peak < traffic.rateAt(now)) {
                                ask(now);
                            }
                            arrival();
                        },
                        gap,
                        TimeUnit.NANOSECONDS);
    }

    private void ask(long now) {
        PartnerSpec partner = script.partners().get(draw(partnerShares));
        Script.MessageClass messageClass = script.classes().get(draw(classShares));
        Line line = new Line(
                String.format("%s-%08d", script.name(), ++made),
                partner.destination(),
                messageClass,
                now,
                mqtt != null && random.nextDouble() < script.traffic().mqttShare() ? mqtt : http);
        score.asked(line.name, messageClass, now);
        line.handIn(null);
    }

    /** One line that a client wants delivered, over all its tries. */
    private final class Line {
        private final String name;
        private final long destination;
        private final Script.MessageClass messageClass;
        private final long asked;
        private final Clients way;
        private int tries;

        Line(String name, long destination, Script.MessageClass messageClass, long asked, Clients way) {
            this.way = way;
            this.name = name;
            this.destination = destination;
            this.messageClass = messageClass;
            this.asked = asked;
        }

        private long leftMs() {
            return messageClass.limit() - (world.getAsLong() - asked) / 1_000_000;
        }

        private void handIn(String retried) {
            if (leftMs() < 1 || stopped) {
                return;
            }
            int relay = nextRelay();
            if (relay < 0) {
                again("again", 0);
                return;
            }
            tries++;
            String id = name + "." + tries;
            score.handedIn(id);
            way.handIn(new Clients.Handed(
                    id, name, destination, messageClass, relay, retried, this::leftMs, new Try(this, id)));
        }

        /** Comes again after a refusal (or when a relay did not answer), if it has tries left. */
        private void again(String retried, long advice) {
            if (tries > script.traffic().retries()) {
                return;
            }
            long wait = BACKOFF_LEAST_MS + random.nextInt(BACKOFF_MOST_MS - BACKOFF_LEAST_MS);
            if (advice > 0
                    && advice <= ADVICE_MOST_MS
                    && random.nextDouble() < script.traffic().honour()) {
                wait = advice;
            }
            tries = Math.max(tries, 1);
            machine.loop().schedule(() -> handIn(retried), wait, TimeUnit.MILLISECONDS);
        }
    }

    /** One try of a line, and what its client hears. */
    private final class Try implements Clients.Heard {
        private final Line line;
        private final String id;

        Try(Line line, String id) {
            this.line = line;
            this.id = id;
        }

        @Override
        public void taken() {
            score.taken(id);
            waiting.put(id, line);
            // A bound on the map: the eldest is past its time when so many are in it.
            if (waiting.size() > 200_000) {
                waiting.remove(waiting.keySet().iterator().next());
            }
        }

        @Override
        public void refused(boolean again, long advice) {
            score.refused(id);
            if (again) {
                line.again("1", advice);
            }
        }

        @Override
        public void left() {
            score.left(id);
            line.again("again", 0);
        }
    }

    /** The next relay in turn that is alive; -1 for none. */
    private int nextRelay() {
        for (int i = 0; i < alive.size(); i++) {
            int relay = next++ % alive.size();
            if (alive.get(relay)) {
                return relay;
            }
        }
        return -1;
    }

    /** A relay has ended a message by a notice: handed back, its client comes again. */
    void noticed(String id, boolean handedBack, long retryIn) {
        if (score.noticed(id, handedBack, world.getAsLong()) && handedBack) {
            Line line = waiting.remove(id);
            if (line != null) {
                line.again("1", retryIn);
            }
        } else {
            waiting.remove(id);
        }
    }

    /** Messages that were taken on, until a notice ends them; those whose time is up are dropped by turns. */
    private final Map<String, Line> waiting = new LinkedHashMap<>();
}
