package brambletray.relay.control;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.TimerFired;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.SetTimer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** How a real relay drives the module: its own clock and timers, events in, actions out. */
class EmbeddingTest {
    /** A host with a clock of its own and a network that answers every send after 30 ms. */
    private static final class SimulatedRelay {
        private final Control control = new Control(7, ControlHarness.settings(8, true, 1));
        private final PriorityQueue<Long> timers = new PriorityQueue<>();
        private final ArrayDeque<Map.Entry<Long, AttemptEnded>> network = new ArrayDeque<>();
        private final Map<String, Integer> attempts = new HashMap<>();
        private final Set<String> delivered = new TreeSet<>();
        private long clock = 1_000_000;

        void deliver(Event... events) {
            for (Action action : control.turn(clock, List.of(events))) {
                if (action instanceof Send s) {
                    int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
                    network.add(Map.entry(
                            clock + 30_000,
                            new AttemptEnded(s.id(), attempt, s.endpoint(), Outcome.OK, true, 0, 30_000, -1, -1)));
                } else if (action instanceof SetTimer w) {
                    timers.add(clock + w.delay());
                }
            }
        }

        void run(long until) {
            for (; clock <= until; clock += 1_000) {
                while (!timers.isEmpty() && timers.peek() <= clock) {
                    timers.poll();
                    deliver(new TimerFired());
                }
                while (!network.isEmpty() && network.peek().getKey() <= clock) {
                    AttemptEnded ended = network.poll().getValue();
                    delivered.add(ended.id());
                    deliver(ended);
                }
            }
        }
    }

    @Test
    void allAcceptedMessagesAreDelivered() {
        SimulatedRelay host = new SimulatedRelay();
        host.deliver(new EndpointsListed(ListKind.FULL, List.of(ControlHarness.endpoint(1, 0, 0, 9, 50), ControlHarness.endpoint(2, 1, 0, 9, 50))));
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            taken.add("bill-" + i);
            host.deliver(new Accepted("bill-" + i, 1, 0, null, host.clock + 16_000_000, 9));
        }
        host.run(3_000_000);
        assertEquals(new TreeSet<>(taken), host.delivered);
    }
}
