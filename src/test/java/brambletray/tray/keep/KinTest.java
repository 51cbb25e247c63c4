package brambletray.tray.keep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.runtime.Machine;
import brambletray.simulation.SimNetwork;
import brambletray.simulation.Simulation;
import brambletray.tray.berth.Address;
import brambletray.tray.news.Iam;
import brambletray.tray.news.Lexis;
import brambletray.tray.news.RosterFetch;
import brambletray.tray.speech.Link;
import brambletray.tray.speech.Speech;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Links between members in simulated time: a machine that comes back is heard, and spoken to, at once. */
class KinTest {
    private static final int PORT = 7_400;

    private final Simulation simulation = new Simulation(7, 0);
    private final List<String> heard = new ArrayList<>();

    KinTest() {
        simulation.network().usual(new SimNetwork.Way(ms(1), 0));
    }

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private static InetAddress ip(String text) {
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private Kin member(String ip) {
        Machine machine = simulation.machine(ip(ip));
        Kin[] made = new Kin[1];
        machine.loop()
                .execute(() -> made[0] = new Kin(
                        machine,
                        new Speech(Lexis.ALL),
                        new Address(ip, PORT),
                        new Iam(ip, ip + ":90", true),
                        new Kin.Ear() {
                            @Override
                            public void member(String address, Object frame) {
                                heard.add(TimeUnit.NANOSECONDS.toMillis(simulation.now()) + " " + ip + " hears "
                                        + address);
                            }

                            @Override
                            public void gone(String address) {}

                            @Override
                            public void edge(String name, Link link) {}

                            @Override
                            public void edge(String name, Link link, Object frame) {}

                            @Override
                            public void edgeGone(String name, Link link) {}
                        }));
        simulation.runUntil(simulation.now());
        return made[0];
    }

    /**
     * The call began while the other was without power and would hang for a second; the other's own call says that it
     * is there.
     */
    @Test
    void whoIsBackIsSpokenToAtOnce() {
        Kin one = member("10.0.0.1");
        simulation.network().vanish(ip("10.0.0.2"));
        one.say("10.0.0.2:90", new RosterFetch(1, 1));
        simulation.runUntil(ms(300));
        simulation.network().comeBack(ip("10.0.0.2"));
        Kin other = member("10.0.0.2");
        other.say("10.0.0.1:90", new RosterFetch(1, 1));
        for (int at = 310; at <= 400; at += 10) {
            simulation.runUntil(ms(at));
            one.say("10.0.0.2:90", new RosterFetch(1, 1));
        }
        assertTrue(heard.stream().anyMatch(line -> line.contains("10.0.0.2 hears 10.0.0.1:90")), heard::toString);
    }

    /** Control: without a word of the other the call hangs until its time is over. */
    @Test
    void whoSaysNothingIsCalledWhenTheHungCallIsOver() {
        Kin one = member("10.0.0.1");
        simulation.network().vanish(ip("10.0.0.2"));
        one.say("10.0.0.2:90", new RosterFetch(1, 1));
        simulation.runUntil(ms(300));
        simulation.network().comeBack(ip("10.0.0.2"));
        member("10.0.0.2");
        for (int at = 310; at <= 900; at += 10) {
            simulation.runUntil(ms(at));
            one.say("10.0.0.2:90", new RosterFetch(1, 1));
        }
        assertEquals(List.of(), heard);
    }
}
