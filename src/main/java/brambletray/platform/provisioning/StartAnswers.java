package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;

/** Tells homes what became of their starts, and the same again while they ask with the same nonce. */
final class StartAnswers implements InstanceStarts.Ends {
    private static final EventLog LOG = EventLog.of("provisioning");
    /** Answers that are remembered, and ms for which. */
    private static final int MOST = 8_192;

    private static final long AGE = 60_000;
    /** ms between two log lines of starts that were turned down. */
    private static final long SELDOM = 1_000;

    private final ProvisioningActions hands;
    private final HomeLookup homes;
    private final InstanceRegistry registry;
    private final WorkerPool fleet;
    private final RecentNames<String> started = new RecentNames<>(MOST, AGE);
    private final RecentNames<StartRefusal> turnedDown = new RecentNames<>(MOST, AGE);
    private long toldAt = Long.MIN_VALUE / 2;
    private int untold;

    StartAnswers(ProvisioningActions hands, HomeLookup homes, InstanceRegistry registry, WorkerPool fleet) {
        this.hands = hands;
        this.homes = homes;
        this.registry = registry;
        this.fleet = fleet;
    }

    /** False: it has not been answered, or turned down so long ago that it may be tried once more. */
    boolean again(String edge, StartRequest need, long now) {
        String id = started.get(need.nonce(), now);
        if (id != null) {
            InstanceLifecycle life = registry.get(id);
            hands.tell(
                    edge,
                    life == null || life.stopping
                            ? new StartRefusal(need.nonce(), 0)
                            : new InstanceStarted(need.nonce(), life.host(now)));
            return true;
        }
        StartRefusal no = turnedDown.get(need.nonce(), now);
        if (no != null && turnedDown.ago(need.nonce(), now) < no.comeBackMs()) {
            hands.tell(edge, no);
            return true;
        }
        return false;
    }

    /** An edge has told which host its nonce was answered with. */
    void known(InstanceInfo host, long now) {
        started.put(host.nonce(), host.id(), now);
    }

    @Override
    public void started(PendingStart start, StartResponse begun, long now) {
        InstanceLifecycle life = registry.get(begun.id());
        if (registry.end(begun.id(), now) != null) {
            turnedDown(start, 0, "host " + begun.id() + " has ended", now);
            return;
        }
        if (life != null && !life.seat.equals(start.seat)) {
            turnedDown(start, 0, "host " + life.id + " belongs to the seat " + life.seat, now);
            return;
        }
        if (life == null) {
            if (!start.unclear) {
                registry.reused(begun.address(), begun.id(), now);
            }
            life = new InstanceLifecycle(begun.id(), start.service, begun.address(), start.nonce, now)
                    .at(start.zone, start.seat, start.worker);
            registry.add(life);
        }
        started.put(start.nonce, life.id, now);
        InstanceStarted born = new InstanceStarted(start.nonce, life.host(now));
        hands.tell(start.edge, born);
        String home = homes.edge(start.service, start.seat);
        if (home != null && !home.equals(start.edge)) {
            hands.tell(home, born);
        }
        WorkerCapacity spot = fleet.spot(life.worker);
        if (spot == null) {
            registry.gone(life, "its worker is down", false, now);
        } else if (spot.draining()) {
            registry.leaving(life, "its worker drains");
        }
    }

    @Override
    public void turnedDown(PendingStart start, int comeBackMs, String why, long now) {
        untold++;
        if (now - toldAt >= SELDOM) {
            LOG.info("no start")
                    .with("service", start.service)
                    .with("seat", start.seat)
                    .with("why", why)
                    .with("come back", comeBackMs)
                    .with("as many", untold)
                    .log();
            toldAt = now;
            untold = 0;
        }
        StartRefusal no = new StartRefusal(start.nonce, comeBackMs);
        turnedDown.put(start.nonce, no, now);
        hands.tell(start.edge, no);
    }
}
