package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The registry of hosts, at the one holder of the duty: starts and stops them as homes ask, tells homes what becomes of
 * them. A state machine: times (ms of a steady clock) and events go in, {@link ProvisioningActions} are told what to
 * do. One thread.
 */
public final class Provisioner {
    /** The frames of this plane, for the links. */
    public static final List<Class<?>> FRAMES = List.of(
            StartRequest.class,
            InstanceInfo.class,
            InstanceStarted.class,
            StartRefusal.class,
            InstanceDraining.class,
            InstanceGone.class,
            StopRequest.class,
            InstanceUp.class,
            HomeClaim.class,
            InstanceList.class,
            KnownInstances.class,
            Reclaim.class);

    private static final EventLog LOG = EventLog.of("provisioning");
    /** ms; a stop that has waited so long goes before starts. */
    private static final long STOP_WAIT = 500;
    /** ms of a new term in which hosts that its predecessor started may still appear. */
    private static final long YOUNG = 5_000;

    private final ProvisioningActions hands;
    private final HomeLookup homes;
    private final WorkerPool fleet;
    private final InstanceRegistry registry;
    private final CallPacer pace;
    private final ListPolling polls;
    private final InstanceStops stops;
    private final InstanceStarts starts;
    private final InstanceListReconciler reconciler;
    private final CoordinatorTakeover settling;
    private final StartAnswers answers;
    private final OrphanInstances orphans;
    private final KnowledgeRecovery recall;
    private final long began;
    private Map<String, InstanceSize> sizes = Map.of();
    /** The configuration has been told: until then nothing is started, and no host is of no service. */
    private boolean told;

    /** A new holder of the duty, that knows nothing yet. */
    public Provisioner(PlatformTerms terms, ProvisioningActions hands, HomeLookup homes, long now) {
        this.hands = hands;
        this.homes = homes;
        fleet = new WorkerPool(terms.lagMs());
        registry = new InstanceRegistry(hands, homes, fleet);
        pace = new CallPacer(terms.dutyRatePerS(), now);
        polls = new ListPolling(terms.ratePerS());
        stops = new InstanceStops(
                hands,
                registry,
                fleet,
                pace,
                service -> sizes.getOrDefault(service, new InstanceSize(0, 0)).memoryMb());
        answers = new StartAnswers(hands, homes, registry, fleet);
        MemoryPressure pressure = new MemoryPressure(hands, homes, registry);
        starts = new InstanceStarts(hands, fleet, terms, pace, polls, service -> sizes.get(service), answers, pressure);
        reconciler = new InstanceListReconciler(registry, stops, starts, service -> sizes.get(service), terms.lagMs());
        settling = new CoordinatorTakeover(now);
        orphans = new OrphanInstances(registry, homes, stops);
        recall = new KnowledgeRecovery(hands, homes, registry, fleet, answers, orphans);
        began = now;
    }

    /**
     * The edges whose {@link KnownInstances} is awaited before a host counts as known to nobody; without it, 1.5 s are
     * waited.
     */
    public void expect(Set<String> edges) {
        settling.expect(edges);
    }

    /**
     * The services of the configuration in force. Hosts of those that are not in it are stopped after 10 s, unless
     * their homes are faster.
     */
    public void configuration(Map<String, InstanceSize> services, long now) {
        told = true;
        sizes = Map.copyOf(services);
        orphans.configuration(sizes.keySet());
        orphans.look(now);
    }

    /** A home wants a host. The same nonce again: the same answer, or none yet. */
    public void need(String edge, StartRequest need, long now) {
        orphans.claimed(need.service(), need.seat(), edge);
        if (answers.again(edge, need, now)) {
            return;
        }
        starts.want(edge, need, now);
        pump(now);
    }

    /** A home has emptied a host. Only the home of its seat may have it stopped. */
    public void quit(String edge, StopRequest quit, long now) {
        InstanceLifecycle life = registry.get(quit.id());
        if (life != null) {
            String home = homes.edge(life.service, life.seat);
            if (home != null && !home.equals(edge)) {
                LOG.debug("quit ignored")
                        .with("host", life.id)
                        .with("from", edge)
                        .with("home", home)
                        .log();
                return;
            }
        } else if (registry.end(quit.id(), now) != null) {
            hands.tell(edge, new InstanceGone(quit.id(), quit.service()));
            return;
        }
        stops.want(quit.id(), "its home wants it stopped", now);
        pump(now);
    }

    /** A home has had a connection come up there. */
    public void seen(String edge, InstanceUp seen, long now) {
        InstanceLifecycle life = registry.get(seen.id());
        if (life != null) {
            life.up(now);
        }
    }

    /**
     * A new home of a seat: is told its hosts, and each that becomes known later by {@link InstanceStarted}. A hub that
     * has just
     * begun, and knows none, says so only once it has been told and has seen a list.
     */
    public void claim(String edge, HomeClaim claim, long now) {
        orphans.claimed(claim.service(), claim.seat(), edge);
        starts.forget(claim.service(), claim.seat(), edge);
        List<InstanceInfo> hosts = registry.seat(claim.service(), claim.seat(), now);
        if (hosts.isEmpty() && settling.blind(now)) {
            settling.await(edge, claim);
        } else {
            hands.tell(edge, new InstanceList(claim.service(), claim.seat(), hosts));
        }
    }

    private void answerClaims(long now) {
        if (!settling.blind(now)) {
            settling.drain((edge, claim) -> claim(edge, claim, now));
        }
    }

    /** What an edge's seats know, as its link comes up: all of it. It is told what it has missed. */
    public void mine(String edge, KnownInstances mine, long now) {
        recall.mine(edge, mine, now);
        settling.told(edge);
        answerClaims(now);
    }

    /** An edge is gone: what it asked for and has not been called is forgotten; its hosts await the next homes. */
    public void edgeGone(String edge, long now) {
        starts.forget(edge);
        settling.told(edge);
    }

    /**
     * The platform's list. {@code complete}: all of its pages have come; else no absence is concluded from it, and it
     * is asked for again soon.
     */
    public void listed(List<ListedInstance> list, boolean complete, long now) {
        long asked = polls.hosts.came(now, complete);
        reconciler.take(list, asked, complete, told && settling.over(now), now);
        if (complete) {
            settling.listed(now);
        }
        answerClaims(now);
        orphans.look(now);
        pump(now);
    }

    /** The platform's workers. */
    public void workers(List<WorkerInfo> workers, long now) {
        WorkerPool.News news = fleet.listed(workers, polls.workers.came(now, true));
        if (news.doubt()) {
            polls.hasten();
        }
        for (String worker : news.draining()) {
            List<InstanceLifecycle> there = registry.at(worker);
            LOG.info("worker drains")
                    .with("worker", worker)
                    .with("hosts", there.size())
                    .log();
            there.forEach(life -> registry.leaving(life, "its worker drains"));
        }
        for (String worker : news.down()) {
            List<InstanceLifecycle> there = registry.at(worker);
            LOG.info("worker down")
                    .with("worker", worker)
                    .with("hosts", there.size())
                    .log();
            there.forEach(life -> registry.gone(life, "its worker is down", false, now));
        }
        pump(now);
    }

    /** The workers did not come. */
    public void workersFailed(long now) {
        polls.workers.came(now, false);
    }

    /** The answer to {@link ProvisioningActions#begin}. */
    public void begun(String nonce, StartResponse begun, long now) {
        starts.answered(nonce, begun, now);
        pump(now);
    }

    /** The answer to {@link ProvisioningActions#stop}. */
    public void stopped(String id, CallResult result, long now) {
        stops.answered(id, result, now);
        pump(now);
    }

    /** Time has passed: every 20 to 50 ms. */
    public void tick(long now) {
        boolean young = now - began < YOUNG;
        polls.tick(now, young || !registry.empty() || !starts.empty() || !stops.empty(), hands);
        starts.tick(now);
        answerClaims(now);
        pump(now);
    }

    /** Calls what the pace allows: starts first, but a stop does not wait for ever. */
    private void pump(long now) {
        while (pace.free(now)) {
            boolean stopFirst = stops.waited(now) > STOP_WAIT;
            if (!(stopFirst && stops.callOne(now)) && !(told && starts.callOne(now)) && !stops.callOne(now)) {
                return;
            }
        }
    }

    /** The hosts that are known, for the operator: of one service, or (null) of all; not more than {@code most}. */
    public List<InstanceInfo> hosts(String service, int most, long now) {
        List<InstanceInfo> hosts = new ArrayList<>();
        for (InstanceLifecycle life : service == null ? registry.all() : registry.of(service)) {
            if (hosts.size() < most) {
                hosts.add(life.host(now));
            }
        }
        return hosts;
    }

    /** How many hosts are known, for log lines and the operator. */
    public int known() {
        return registry.size();
    }
}
