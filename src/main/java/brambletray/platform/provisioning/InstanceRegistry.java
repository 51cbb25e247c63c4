package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The hosts that are known, and those that ended lately. Whoever is home of a host's seat is told what becomes of it.
 */
final class InstanceRegistry {
    private static final EventLog LOG = EventLog.of("provisioning");
    /** Ended hosts, and ms, for which an id is remembered: lists that lag may show it still. */
    private static final int PAST_MOST = 8_192;

    private static final long PAST_AGE = 60_000;

    /** Why a host ended. {@code stopped}: the platform has confirmed the stop. */
    record End(String why, boolean stopped) {}

    private final ProvisioningActions hands;
    private final HomeLookup homes;
    private final WorkerPool fleet;
    private final Map<String, InstanceLifecycle> lives = new LinkedHashMap<>();
    private final Map<String, Map<String, InstanceLifecycle>> services = new HashMap<>();
    private final Map<String, InstanceLifecycle> addresses = new HashMap<>();
    private final RecentNames<End> past = new RecentNames<>(PAST_MOST, PAST_AGE);

    InstanceRegistry(ProvisioningActions hands, HomeLookup homes, WorkerPool fleet) {
        this.hands = hands;
        this.homes = homes;
        this.fleet = fleet;
    }

    InstanceLifecycle get(String id) {
        return lives.get(id);
    }

    boolean empty() {
        return lives.isEmpty();
    }

    int size() {
        return lives.size();
    }

    Collection<InstanceLifecycle> all() {
        return lives.values();
    }

    /** A copy: hosts may be removed while it is walked. */
    List<InstanceLifecycle> of(String service) {
        Map<String, InstanceLifecycle> instances = services.get(service);
        return instances == null ? List.of() : new ArrayList<>(instances.values());
    }

    /** A copy. */
    List<InstanceLifecycle> at(String worker) {
        List<InstanceLifecycle> there = new ArrayList<>();
        for (InstanceLifecycle life : lives.values()) {
            if (worker.equals(life.worker)) {
                there.add(life);
            }
        }
        return there;
    }

    /** Those of a seat that may be given work or still have some. */
    List<InstanceInfo> seat(String service, String seat, long now) {
        List<InstanceInfo> hosts = new ArrayList<>();
        for (InstanceLifecycle life : of(service)) {
            if (life.seat.equals(seat) && !life.stopping) {
                hosts.add(life.host(now));
            }
        }
        return hosts;
    }

    /** Adds it; tells nobody. */
    void add(InstanceLifecycle life) {
        lives.put(life.id, life);
        services.computeIfAbsent(life.service, name -> new LinkedHashMap<>()).put(life.id, life);
        addresses.put(life.address, life);
        fleet.instances(life.worker, life.service, 1);
    }

    /** The platform has given this address to another host just now: who had it has ended. */
    void reused(String address, String by, long now) {
        InstanceLifecycle former = addresses.get(address);
        if (former != null && !former.id.equals(by)) {
            gone(former, "its address has been given to " + by, false, now);
        }
    }

    /** A host turns out to be elsewhere than was thought. */
    void move(InstanceLifecycle life, String zone, String worker) {
        life.zone = zone;
        if (worker != null && !worker.equals(life.worker)) {
            fleet.instances(life.worker, life.service, -1);
            life.worker = worker;
            fleet.instances(worker, life.service, 1);
        }
    }

    void born(InstanceLifecycle life, long now) {
        tell(life, new InstanceStarted(life.nonce, life.host(now)));
    }

    void leaving(InstanceLifecycle life, String why) {
        if (life.state == InstanceInfo.LEAVING) {
            return;
        }
        life.state = InstanceInfo.LEAVING;
        LOG.info("leaving")
                .with("host", life.id)
                .with("service", life.service)
                .with("why", why)
                .log();
        if (!life.stopping) {
            tell(life, new InstanceDraining(life.id, life.service));
        }
    }

    void gone(InstanceLifecycle life, String why, boolean stopped, long now) {
        if (lives.remove(life.id) == null) {
            return;
        }
        Map<String, InstanceLifecycle> instances = services.get(life.service);
        instances.remove(life.id);
        if (instances.isEmpty()) {
            services.remove(life.service);
        }
        addresses.remove(life.address, life);
        fleet.instances(life.worker, life.service, -1);
        ended(life.id, why, stopped, now);
        if (!stopped) {
            LOG.info("gone")
                    .with("host", life.id)
                    .with("service", life.service)
                    .with("worker", life.worker)
                    .with("why", why)
                    .log();
        }
        tell(life, new InstanceGone(life.id, life.service));
    }

    /** Remembers the end of a host that may be unknown. */
    void ended(String id, String why, boolean stopped, long now) {
        past.put(id, new End(why, stopped), now);
    }

    /** Null: not known to have ended. */
    End end(String id, long now) {
        return past.get(id, now);
    }

    /** ms since it ended; -1: not known to have ended. */
    long endedAgo(String id, long now) {
        return past.ago(id, now);
    }

    void revive(String id) {
        past.remove(id);
    }

    private void tell(InstanceLifecycle life, Object frame) {
        String home = homes.edge(life.service, life.seat);
        if (home != null) {
            hands.tell(home, frame);
        }
    }
}
