package brambletray.relay.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * All partners of one script, and the script's events on them: pure, fed with times in ns from the start that
 * never go back. Events at one instant happen in the order of the file; ends of earlier ones before them.
 */
public final class World {
    /** What happens to the list rather than to an endpoint, and what an endpoint's standing in it is. */
    public interface ListWatcher {
        /**
         * An endpoint's entry changes; {@code health}: ready, draining or gone. {@code born}: ns, 0 for
         * long ago.
         */
        void listed(Endpoint endpoint, String host, String health, long born);

        /** Changes are told so much later from now on; ns. */
        void late(long by);

        /** The agent is silent, or answers again. */
        void stalled(boolean silent);

        /** The agent moves to another address. */
        void moved();
    }

    /** A step's beginning or its end. */
    private record Due(long at, boolean end, int order, Step step) {}

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(
            Comparator.comparingLong(Due::at).thenComparing(due -> !due.end()).thenComparingInt(Due::order));
    private final Ledger ledger;
    private ListWatcher list = new ListWatcher() {
        @Override
        public void listed(Endpoint endpoint, String host, String health, long born) {}

        @Override
        public void late(long by) {}

        @Override
        public void stalled(boolean silent) {}

        @Override
        public void moved() {}
    };
    private int replacements;

    /** {@code seed}: for all chance in it; each endpoint has a stream of its own. */
    public World(List<PartnerSpec> partners, List<Step> steps, Ledger ledger, long seed) {
        this.ledger = ledger;
        SplittableRandom seeds = new SplittableRandom(seed);
        for (PartnerSpec partner : partners) {
            Meter shared = new Meter(partner.limit(), 0);
            Map<String, KeyMemory> memories = new LinkedHashMap<>();
            for (PartnerSpec.EndpointSpec spec : partner.endpoints()) {
                KeyMemory keys = memories.computeIfAbsent(
                        partner.keys().byZone() ? spec.zone() : "",
                        group -> new KeyMemory(partner.keys().window()));
                Meter meter = partner.apart() ? new Meter(partner.limit(), 0) : shared;
                endpoints.put(spec.name(), new Endpoint(partner, spec, meter, keys, ledger, seeds.nextLong()));
                hosts.put(spec.name(), spec.name());
            }
        }
        for (int i = 0; i < steps.size(); i++) {
            Step step = steps.get(i);
            due.add(new Due(step.at(), false, i, step));
            if (step.until() > step.at()) {
                due.add(new Due(step.until(), true, i, step));
            }
        }
    }

    public Ledger ledger() {
        return ledger;
    }

    /** All endpoints, in the script's order. */
    public List<Endpoint> endpoints() {
        return new ArrayList<>(endpoints.values());
    }

    public Endpoint endpoint(String name) {
        return endpoints.get(name);
    }

    /** The name under which the list has an endpoint; another one after it was replaced. */
    public String host(Endpoint endpoint) {
        return hosts.get(endpoint.name());
    }

    public void watch(ListWatcher watcher) {
        list = watcher;
    }

    /** When the next event of the script is due; Long.MAX_VALUE for never. */
    public long nextAt() {
        return due.isEmpty() ? Long.MAX_VALUE : due.peek().at();
    }

    /** Lets the script's events happen that are due by now; returns those that began. */
    public List<Step> advance(long now) {
        List<Step> begun = new ArrayList<>();
        while (!due.isEmpty() && due.peek().at() <= now) {
            Due next = due.poll();
            Step step = next.step();
            if (!next.end()) {
                begun.add(step);
            }
            listStep(next);
            for (String name : step.endpoints()) {
                Endpoint endpoint = endpoints.get(name);
                if (next.end()) {
                    end(next.at(), step.what(), endpoint);
                } else {
                    begin(next.at(), step, endpoint);
                }
            }
        }
        return begun;
    }

    private void listStep(Due next) {
        if (next.step().what() instanceof Step.ListLate late) {
            list.late(next.end() ? 0 : late.by());
        } else if (next.step().what() instanceof Step.ListStalled) {
            list.stalled(!next.end());
        } else if (next.step().what() instanceof Step.ListMoved) {
            list.moved();
        }
    }

    private void begin(long at, Step step, Endpoint endpoint) {
        Step.What what = step.what();
        if (what instanceof Step.Shut shut) {
            endpoint.shut(at, step.until(), shut.tells());
        } else if (what instanceof Step.Down) {
            endpoint.down(at, Endpoint.Reach.REFUSED);
        } else if (what instanceof Step.Vanish) {
            endpoint.down(at, Endpoint.Reach.SILENT);
        } else if (what instanceof Step.Hang) {
            endpoint.hang(at);
        } else if (what instanceof Step.Pause pause) {
            endpoint.pause(at, step.until(), pause.forgets());
        } else if (what instanceof Step.Slow slow) {
            endpoint.slow(at, slow.factor());
        } else if (what instanceof Step.Spoil spoil) {
            endpoint.spoil(at, spoil.shares());
        } else if (what instanceof Step.Drain drain) {
            list.listed(endpoint, host(endpoint), "draining", 0);
            endpoint.drain(at, drain.refuses());
        } else if (what instanceof Step.Leave) {
            list.listed(endpoint, host(endpoint), "gone", 0);
            endpoint.down(at, Endpoint.Reach.REFUSED);
        } else if (what instanceof Step.Return) {
            endpoint.drain(at, false);
            endpoint.open(at);
            list.listed(endpoint, host(endpoint), "ready", at);
        } else if (what instanceof Step.Replace) {
            list.listed(endpoint, host(endpoint), "gone", 0);
            endpoint.down(at, Endpoint.Reach.REFUSED);
            endpoint.drain(at, false);
            endpoint.open(at);
            replacements++;
            hosts.put(endpoint.name(), endpoint.name() + "-r" + replacements);
            list.listed(endpoint, host(endpoint), "ready", at);
        }
    }

    private void end(long at, Step.What what, Endpoint endpoint) {
        if (what instanceof Step.Shut
                || what instanceof Step.Down
                || what instanceof Step.Vanish
                || what instanceof Step.Hang) {
            endpoint.open(at);
        } else if (what instanceof Step.Pause) {
            endpoint.resume(at);
        } else if (what instanceof Step.Slow) {
            endpoint.slow(at, 1);
        } else if (what instanceof Step.Spoil) {
            boolean cold = ((Step.Spoil) what).shares().failed() > 0.5;
            endpoint.spoil(at, Endpoint.Spoils.NONE);
            if (cold) {
                endpoint.open(at);
            }
        } else if (what instanceof Step.Drain || what instanceof Step.Leave) {
            endpoint.drain(at, false);
            if (what instanceof Step.Leave) {
                endpoint.open(at);
            }
            list.listed(endpoint, host(endpoint), "ready", what instanceof Step.Leave ? at : 0);
        }
    }
}
