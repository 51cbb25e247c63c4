package brambletray.platform.edge;

import brambletray.platform.admission.AdmissionActions;
import brambletray.platform.admission.AdmissionParameters;
import brambletray.platform.admission.HeldSlots;
import brambletray.platform.admission.ServiceQueues;
import brambletray.platform.admission.ServiceSpec;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.admission.SlotRequestCancel;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Service;
import brambletray.platform.configuration.ServiceShare;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceDraining;
import brambletray.platform.provisioning.InstanceGone;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.KnownInstances;
import brambletray.platform.provisioning.Reclaim;
import brambletray.platform.provisioning.StartRefusal;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The seats of which this edge is home, and what they say to whom. What seats want done is done after they have
 * returned, as they must not be called back from within. For the loop only.
 */
final class LocalAdmission {
    /** ms between two looks for seats that are another edge's by now. */
    private static final int SWEEP = 1_000;

    /**
     * ms for which slots told of a seat that is not held here are remembered: rosters reach edges at different moments.
     */
    private static final int EARLY_MS = 2_000;
    /** Of these words, remembered at a time. */
    private static final int EARLY_MOST = 1_024;

    /** What an edge told of the slots it holds, before this edge knew that it is home. */
    private record Early(HeldSlots held, long at) {}

    /** Where its words go. */
    interface Ways {
        void grant(String edge, SlotGrant grant);

        void refuse(String edge, SlotRefusal refuse);

        void elsewhere(String edge, SlotRedirect elsewhere);

        void hub(Object frame);

        /** {@link #tick} is to be called then, ms; said at each change. */
        void due(long at);

        void knock(String service, String host, String address);
    }

    private final String self;
    private final String zone;
    private final ServiceQueues seats;
    private final Ways ways;
    private final LongSupplier clock;
    private final ArrayDeque<Runnable> todo = new ArrayDeque<>();
    private final Map<String, ServiceSpec> specs = new HashMap<>();
    private final List<Early> early = new ArrayList<>();
    private HomeAssignment homes = new HomeAssignment(Roster.NONE);
    private boolean doing;
    private long swept;

    LocalAdmission(
            String self, String zone, String noncePrefix, AdmissionParameters laws, Ways ways, LongSupplier clock) {
        this.self = self;
        this.zone = zone;
        this.ways = ways;
        this.clock = clock;
        this.seats = new ServiceQueues(zone, noncePrefix, laws, new Later());
    }

    private long now() {
        return clock.getAsLong();
    }

    /** Does what the seats wanted during the call that has just returned. */
    private void then() {
        if (doing) {
            return;
        }
        doing = true;
        try {
            for (Runnable next = todo.poll(); next != null; next = todo.poll()) {
                next.run();
            }
        } finally {
            doing = false;
        }
        ways.due(Math.min(seats.nextDue(), swept + SWEEP + 1));
    }

    void ask(SlotRequest ask, boolean stay) {
        if (!seats.holds(ask.service())) {
            take(ask.service(), homes.rootZone(ask.service()));
        }
        if (!seats.ask(ask, stay, now())) {
            ways.refuse(ask.edge(), new SlotRefusal(ask.id(), -1));
        }
        then();
    }

    /** Becomes home of a service, and is told what edges have said of its slots already. */
    private void take(String service, String rootZone) {
        seats.take(service, rootZone, others(), now());
        if (!seats.holds(service)) {
            return;
        }
        for (Early one : early) {
            if (one.held.service().equals(service) && now() - one.at <= EARLY_MS) {
                seats.held(one.held, now());
            }
        }
        early.removeIf(one -> one.held.service().equals(service));
    }

    private void remember(HeldSlots held) {
        early.removeIf(one -> now() - one.at > EARLY_MS
                || one.held.edge().equals(held.edge()) && one.held.service().equals(held.service()));
        if (early.size() < EARLY_MOST) {
            early.add(new Early(held, now()));
        }
    }

    /** A slot told early has been given back, or will not be used. */
    private void dropEarly(String edge, long askId) {
        early.replaceAll(one -> one.held.edge().equals(edge) ? new Early(one.held.without(askId), one.at) : one);
    }

    private List<String> others() {
        List<String> names = new ArrayList<>();
        for (Peer peer : homes.roster().peers()) {
            if (!peer.name().equals(self)) {
                names.add(peer.name());
            }
        }
        return names;
    }

    void done(String edge, SlotRelease done) {
        dropEarly(edge, done.askId());
        seats.done(edge, done, now());
        then();
    }

    void forget(String edge, SlotRequestCancel forget) {
        dropEarly(edge, forget.askId());
        seats.forget(edge, forget, now());
        then();
    }

    void held(HeldSlots held) {
        if (seats.holds(held.service())) {
            seats.held(held, now());
        } else {
            remember(held);
            if (isHome(held.service())) {
                take(held.service(), homes.rootZone(held.service()));
            }
        }
        then();
    }

    void knocked(String host, boolean ok) {
        seats.knocked(host, ok, now());
        then();
    }

    private boolean isHome(String service) {
        Peer home = homes.homeOf(service, zone);
        return home != null && home.name().equals(self);
    }

    /** What the hub says. */
    void heard(Object frame) {
        long now = now();
        if (frame instanceof InstanceStarted born) {
            seats.born(born, now);
        } else if (frame instanceof InstanceList hosts) {
            seats.hosts(hosts, now);
        } else if (frame instanceof StartRefusal noRoom) {
            seats.noRoom(noRoom, now);
        } else if (frame instanceof InstanceDraining leaving) {
            seats.leaving(leaving, now);
        } else if (frame instanceof InstanceGone gone) {
            seats.gone(gone, now);
        } else if (frame instanceof Reclaim reclaim) {
            seats.reclaim(reclaim, now);
        }
        then();
    }

    /** Another configuration. */
    void configuration(Configuration configuration) {
        Map<String, Integer> targets = new HashMap<>();
        for (Route route : configuration.routes().values()) {
            for (ServiceShare share : route.shares()) {
                targets.merge(share.service(), route.latencyTargetMs(), Math::min);
            }
        }
        Set<String> before = new HashSet<>(specs.keySet());
        specs.clear();
        long now = now();
        for (Service service : configuration.services().values()) {
            ServiceSpec spec = new ServiceSpec(
                    service.name(),
                    service.memoryMb(),
                    service.bootMs(),
                    service.maxConcurrency(),
                    targets.getOrDefault(service.name(), 0));
            specs.put(service.name(), spec);
            seats.spec(spec, now);
            before.remove(service.name());
        }
        for (String gone : before) {
            seats.withdraw(gone, now);
        }
        warm();
        then();
    }

    /**
     * Services whose start cannot be hidden behind their target have one warm host at their root, from the
     * configuration on.
     */
    private void warm() {
        for (ServiceSpec spec : specs.values()) {
            if (spec.targetMs() > 0
                    && spec.bootMs() > spec.targetMs()
                    && !seats.holds(spec.service())
                    && zone.equals(homes.rootZone(spec.service()))
                    && isHome(spec.service())) {
                take(spec.service(), zone);
            }
        }
    }

    /** Another roster: {@code gone} are those that are no longer the process they were. */
    void roster(HomeAssignment next, List<String> gone) {
        homes = next;
        for (String edge : gone) {
            early.removeIf(one -> one.held.edge().equals(edge));
            seats.edgeGone(edge, now());
        }
        sweep();
        warm();
        then();
    }

    private void sweep() {
        swept = now();
        for (String service : seats.services()) {
            if (!isHome(service)) {
                seats.cede(service, swept);
            } else {
                seats.take(service, homes.rootZone(service), List.of(), swept);
            }
        }
    }

    void tick() {
        long now = now();
        if (now - swept > SWEEP) {
            sweep();
        }
        if (seats.nextDue() <= now) {
            seats.tick(now);
        }
        then();
    }

    KnownInstances mine() {
        return seats.mine(now());
    }

    int seats() {
        return seats.services().size();
    }

    private final class Later implements AdmissionActions {
        @Override
        public void grant(String edge, SlotGrant grant) {
            todo.add(() -> ways.grant(edge, grant));
        }

        @Override
        public void refuse(String edge, SlotRefusal refuse) {
            todo.add(() -> ways.refuse(edge, refuse));
        }

        @Override
        public void elsewhere(String edge, SlotRedirect elsewhere) {
            todo.add(() -> ways.elsewhere(edge, elsewhere));
        }

        @Override
        public void need(StartRequest need) {
            todo.add(() -> ways.hub(need));
        }

        @Override
        public void quit(StopRequest quit) {
            todo.add(() -> ways.hub(quit));
        }

        @Override
        public void seen(InstanceUp seen) {
            todo.add(() -> ways.hub(seen));
        }

        @Override
        public void claim(HomeClaim claim) {
            todo.add(() -> ways.hub(claim));
        }

        @Override
        public void knock(String service, String host, String address) {
            todo.add(() -> ways.knock(service, host, address));
        }
    }
}
