package brambletray.relay.emulator;

import java.util.ArrayList;
import java.util.List;

/** One partner in the hands of a test: answers are kept with their times. Times in ms. */
final class Rig implements Endpoint.Sink {
    record Got(double at, String message, Answer answer) {}

    final List<Got> got = new ArrayList<>();
    final Ledger ledger = new Ledger(250_000_000L);
    final World world;
    final Endpoint endpoint;
    private int calls;

    Rig(PartnerSpec spec, List<Step> steps) {
        world = new World(List.of(spec), steps, ledger, 1);
        endpoint = world.endpoints().get(0);
        world.endpoints().forEach(e -> e.sink(this));
    }

    static long ms(double ms) {
        return Math.round(ms * 1e6);
    }

    /** A partner with constant service of 100 ms, two servers, a queue of three, no limit; never cold for long. */
    static PartnerSpec plain() {
        return new PartnerSpec(
                "p",
                1,
                "kind",
                1,
                true,
                2,
                new Law.Constant(ms(100)),
                3,
                new Limit.None(),
                new PartnerSpec.Waits(1, 0, 0),
                null,
                new PartnerSpec.Connections(100, 0, ms(15_000)),
                new PartnerSpec.Keys(ms(15_000), false),
                new PartnerSpec.Cold(0.2, ms(10_000), 2, ms(3_000), 0),
                PartnerSpec.Abandoned.RUNS,
                20,
                1,
                List.of(new PartnerSpec.EndpointSpec("p", "a")));
    }

    static PartnerSpec with(PartnerSpec s, int servers, Law law, int queue, Limit limit) {
        return new PartnerSpec(
                s.name(),
                s.destination(),
                s.kind(),
                s.traffic(),
                s.apart(),
                servers,
                law,
                queue,
                limit,
                s.waits(),
                s.reports(),
                s.connections(),
                s.keys(),
                s.cold(),
                s.abandoned(),
                s.listedRate(),
                s.bundle(),
                s.endpoints());
    }

    static Step step(double at, double until, Step.What what) {
        return new Step(ms(at), ms(until), List.of("p"), what, 0);
    }

    Call send(double at) {
        return send(at, "relay", "m" + ++calls, null);
    }

    Call send(double at, String caller, String message, String key) {
        run(at);
        Call call = new Call(caller, message, key, false);
        endpoint.arrive(ms(at), call);
        return call;
    }

    /** Lets everything happen that is due by then, in the stated order. */
    void run(double until) {
        while (true) {
            long next = Math.min(world.nextAt(), endpoint.nextAt());
            if (next > ms(until)) {
                break;
            }
            endpoint.advance(next);
            world.advance(next);
        }
        endpoint.advance(ms(until));
    }

    List<String> answers() {
        return got.stream()
                .map(g -> Math.round(g.at()) + " " + g.message() + " "
                        + g.answer().getClass().getSimpleName())
                .toList();
    }

    @Override
    public void answer(Call call, Answer answer) {
        got.add(new Got(endpoint.clock() / 1e6, call.message, answer));
    }

    @Override
    public void reachChanged() {
        // The test looks itself.
    }
}
