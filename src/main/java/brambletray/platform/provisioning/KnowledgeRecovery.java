package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.HashSet;
import java.util.Set;

/**
 * What edges know is taken in, and put right. Who told of a host first is right about its seat; another seat's home is
 * told that it is gone. An edge that has been without its link is told what it has missed.
 */
final class KnowledgeRecovery {
    private static final EventLog LOG = EventLog.of("provisioning");

    private final ProvisioningActions hands;
    private final HomeLookup homes;
    private final InstanceRegistry registry;
    private final WorkerPool fleet;
    private final StartAnswers answers;
    private final OrphanInstances orphans;

    KnowledgeRecovery(
            ProvisioningActions hands,
            HomeLookup homes,
            InstanceRegistry registry,
            WorkerPool fleet,
            StartAnswers answers,
            OrphanInstances orphans) {
        this.hands = hands;
        this.homes = homes;
        this.registry = registry;
        this.fleet = fleet;
        this.answers = answers;
        this.orphans = orphans;
    }

    void mine(String edge, KnownInstances mine, long now) {
        orphans.disclaimed(edge);
        Set<String> named = new HashSet<>();
        for (InstanceInfo host : mine.hosts()) {
            named.add(host.id());
            orphans.claimed(host.service(), host.seat(), edge);
            one(edge, host, now);
        }
        for (InstanceLifecycle life : registry.all()) {
            if (!life.stopping && !named.contains(life.id) && edge.equals(homes.edge(life.service, life.seat))) {
                registry.born(life, now);
            }
        }
    }

    private void one(String edge, InstanceInfo host, long now) {
        if (registry.end(host.id(), now) != null) {
            hands.tell(edge, new InstanceGone(host.id(), host.service()));
            return;
        }
        InstanceLifecycle life = registry.get(host.id());
        if (life != null && !life.seat.equals(host.seat())) {
            LOG.warn("told twice")
                    .with("host", life.id)
                    .with("seat", life.seat)
                    .with("from", edge)
                    .with("its seat", host.seat())
                    .log();
            hands.tell(edge, new InstanceGone(host.id(), host.service()));
            return;
        }
        answers.known(host, now);
        if (life == null) {
            remember(edge, host, now);
        } else if (life.state == InstanceInfo.LEAVING && host.state() != InstanceInfo.LEAVING) {
            hands.tell(edge, new InstanceDraining(life.id, life.service));
        }
    }

    private void remember(String edge, InstanceInfo host, long now) {
        InstanceLifecycle life = new InstanceLifecycle(
                        host.id(), host.service(), host.address(), host.nonce(), now - host.bornAgoMs())
                .at(host.zone(), host.seat(), host.worker());
        life.state = host.state();
        if (host.state() != InstanceInfo.BOOTING) {
            life.upAt = now;
        }
        registry.add(life);
        if (!edge.equals(homes.edge(host.service(), host.seat()))) {
            registry.born(life, now);
        }
        WorkerCapacity spot = fleet.spot(host.worker());
        if (spot != null && spot.draining()) {
            registry.leaving(life, "its worker drains");
        }
    }
}
