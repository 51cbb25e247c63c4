package brambletray.relay.check;

import brambletray.relay.check.Sample.Outcome;
import brambletray.relay.emulator.Answer;
import brambletray.relay.emulator.Call;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.emulator.World;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the script says: the world alone under the plan's load, with no protocol and no network. Each caller
 * uses the connection that came free last, and opens one where none is free, as the wire's callers do.
 */
final class Model {
    private final World world;
    private final Plan plan;
    private final List<List<Sample>> samples = new ArrayList<>();

    Model(Plan plan) {
        this.plan = plan;
        this.world = plan.world();
    }

    /** The samples of each endpoint, by its place in the script, in the order in which they were sent. */
    List<List<Sample>> play() {
        List<Endpoint> endpoints = world.endpoints();
        List<Caller> callers = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            Caller caller = new Caller(endpoint, plan.arrivals(callers.size()));
            endpoint.sink(caller);
            callers.add(caller);
        }
        while (true) {
            // At one instant: ends of calls, then the script, then arrivals.
            long next = world.nextAt();
            Caller first = null;
            for (Caller caller : callers) {
                if (caller.nextArrival() < next) {
                    next = caller.nextArrival();
                    first = caller;
                }
            }
            if (next == Long.MAX_VALUE) {
                break;
            }
            for (Caller caller : callers) {
                caller.endpoint.advance(next);
                caller.now = next;
            }
            if (first == null) {
                world.advance(next);
            } else {
                first.send(next);
            }
        }
        for (Caller caller : callers) {
            while (caller.endpoint.nextAt() != Long.MAX_VALUE) {
                caller.endpoint.advance(caller.endpoint.nextAt());
            }
            samples.add(List.of(caller.samples));
        }
        return samples;
    }

    private final class Caller implements Endpoint.Sink {
        private final Endpoint endpoint;
        private final long[] arrivals;
        private final Sample[] samples;
        private final Map<Call, Integer> out = new HashMap<>();
        private int next;
        private int idle;
        private long now;

        Caller(Endpoint endpoint, long[] arrivals) {
            this.endpoint = endpoint;
            this.arrivals = arrivals;
            this.samples = new Sample[arrivals.length];
        }

        long nextArrival() {
            return next < arrivals.length ? arrivals[next] : Long.MAX_VALUE;
        }

        void send(long at) {
            int index = next++;
            samples[index] = new Sample(index, at, Long.MAX_VALUE, Outcome.NOTHING);
            boolean fresh = idle == 0;
            if (endpoint.reach() == Endpoint.Reach.REFUSED
                    || fresh && endpoint.reach() == Endpoint.Reach.OPEN && !endpoint.connect(at)) {
                samples[index] = new Sample(index, at, at, Outcome.UNREACHABLE);
                return;
            }
            if (endpoint.reach() == Endpoint.Reach.SILENT) {
                return;
            }
            idle -= fresh ? 0 : 1;
            Call call = new Call("check", Plan.message(endpoint, index), null, fresh);
            out.put(call, index);
            endpoint.arrive(at, call);
        }

        @Override
        public void answer(Call call, Answer answer) {
            int index = out.remove(call);
            long ended = Math.max(samples[index].sent(), endpoint.clock());
            Outcome outcome = answer instanceof Answer.Delivered
                    ? Outcome.DELIVERED
                    : answer instanceof Answer.Refused
                            ? Outcome.REFUSED
                            : answer instanceof Answer.Failed
                                    ? Outcome.FAILED
                                    : answer instanceof Answer.Spoilt ? Outcome.SPOILT : Outcome.BROKEN;
            samples[index] = new Sample(index, samples[index].sent(), ended, outcome);
            if (outcome == Outcome.DELIVERED || outcome == Outcome.REFUSED || outcome == Outcome.FAILED) {
                idle++;
            } else {
                endpoint.disconnect();
            }
        }

        @Override
        public void reachChanged() {
            if (endpoint.reach() != Endpoint.Reach.OPEN) {
                for (int i = 0; i < idle; i++) {
                    endpoint.disconnect();
                }
                idle = 0;
            }
        }
    }
}
