package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** All operators of a course. */
final class SimulatedOperators {
    private final List<SimulatedOperator> members = new ArrayList<>();
    /** ms between the orders of one, about. */
    final int pace;
    /** Bytes that some orders are larger by, at most. */
    final int ballast;
    /** Notified once of the member that gives the next acknowledgement. */
    private Consumer<String> whenAcknowledged;

    SimulatedOperators(SimulatedCluster cluster, DrillJudge judge) {
        pace = 200 + cluster.random.nextInt(1_300);
        ballast = cluster.script.seed() % 16 == 0 ? 40_000 : 0;
        for (int i = 1; i <= 4; i++) {
            members.add(new SimulatedOperator(cluster, judge, this, i));
        }
    }

    void begin() {
        members.get(0).begin(300);
        for (SimulatedOperator one : members.subList(1, members.size())) {
            one.begin(1_500);
        }
    }

    void end() {
        members.forEach(SimulatedOperator::end);
    }

    boolean busy() {
        return members.stream().anyMatch(SimulatedOperator::busy);
    }

    /** One with nothing under way, or null. */
    SimulatedOperator idler(SimulatedOperator but) {
        for (SimulatedOperator one : members) {
            if (one != but && !one.busy()) {
                return one;
            }
        }
        return null;
    }

    /** All read; each one's answer is handed on. */
    void last(IntConsumer then) {
        members.forEach(one -> one.last(then));
    }

    int count() {
        return members.size();
    }

    SimulatedOperator any(int drawn) {
        return members.get(drawn % members.size());
    }

    void orderNow() {
        SimulatedOperator idle = idler(null);
        if (idle != null) {
            idle.orderNow();
        }
    }

    void whenAcknowledged(Consumer<String> listener) {
        whenAcknowledged = listener;
    }

    void acknowledged(String member) {
        Consumer<String> listener = whenAcknowledged;
        whenAcknowledged = null;
        if (listener != null) {
            listener.accept(member);
        }
    }
}
