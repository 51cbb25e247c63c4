package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** All operators of a course. */
final class Operators {
    private final List<Operator> all = new ArrayList<>();
    /** ms between the orders of one, about. */
    final int pace;
    /** Bytes that some orders are larger by, at most. */
    final int ballast;
    /** Told once of the member that gives the next acknowledgement. */
    private Consumer<String> whenAcknowledged;

    Operators(World world, DrillJudge book) {
        pace = 200 + world.random.nextInt(1_300);
        ballast = world.script.seed() % 16 == 0 ? 40_000 : 0;
        for (int i = 1; i <= 4; i++) {
            all.add(new Operator(world, book, this, i));
        }
    }

    void begin() {
        all.get(0).begin(300);
        for (Operator one : all.subList(1, all.size())) {
            one.begin(1_500);
        }
    }

    void end() {
        all.forEach(Operator::end);
    }

    boolean busy() {
        return all.stream().anyMatch(Operator::busy);
    }

    /** One with nothing under way, or null. */
    Operator idler(Operator but) {
        for (Operator one : all) {
            if (one != but && !one.busy()) {
                return one;
            }
        }
        return null;
    }

    /** All read; each one's answer is handed on. */
    void last(IntConsumer then) {
        all.forEach(one -> one.last(then));
    }

    int count() {
        return all.size();
    }

    Operator any(int drawn) {
        return all.get(drawn % all.size());
    }

    void orderNow() {
        Operator idle = idler(null);
        if (idle != null) {
            idle.orderNow();
        }
    }

    void whenAcknowledged(Consumer<String> told) {
        whenAcknowledged = told;
    }

    void acknowledged(String member) {
        Consumer<String> told = whenAcknowledged;
        whenAcknowledged = null;
        if (told != null) {
            told.accept(member);
        }
    }
}
