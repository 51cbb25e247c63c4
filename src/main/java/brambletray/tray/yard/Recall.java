package brambletray.tray.yard;

import brambletray.tray.tale.Tale;
import java.util.HashSet;
import java.util.Set;

/**
 * What edges know is taken in, and put right. Who told of a host first is right about its seat; another seat's home is
 * told that it is gone. An edge that has been without its link is told what it has missed.
 */
final class Recall {
    private static final Tale TALE = Tale.of("yard");

    private final Hands hands;
    private final Homes homes;
    private final Registry registry;
    private final Fleet fleet;
    private final Answers answers;
    private final Strays strays;

    Recall(Hands hands, Homes homes, Registry registry, Fleet fleet, Answers answers, Strays strays) {
        this.hands = hands;
        this.homes = homes;
        this.registry = registry;
        this.fleet = fleet;
        this.answers = answers;
        this.strays = strays;
    }

    void mine(String edge, Mine mine, long now) {
        strays.disclaimed(edge);
        Set<String> named = new HashSet<>();
        for (Host host : mine.hosts()) {
            named.add(host.id());
            strays.claimed(host.service(), host.seat(), edge);
            one(edge, host, now);
        }
        for (Life life : registry.all()) {
            if (!life.stopping && !named.contains(life.id) && edge.equals(homes.edge(life.service, life.seat))) {
                registry.born(life, now);
            }
        }
    }

    private void one(String edge, Host host, long now) {
        if (registry.end(host.id(), now) != null) {
            hands.tell(edge, new Gone(host.id(), host.service()));
            return;
        }
        Life life = registry.get(host.id());
        if (life != null && !life.seat.equals(host.seat())) {
            TALE.warn("told twice", "host", life.id, "seat", life.seat, "from", edge, "its seat", host.seat());
            hands.tell(edge, new Gone(host.id(), host.service()));
            return;
        }
        answers.known(host, now);
        if (life == null) {
            remember(edge, host, now);
        } else if (life.state == Host.LEAVING && host.state() != Host.LEAVING) {
            hands.tell(edge, new Leaving(life.id, life.service));
        }
    }

    private void remember(String edge, Host host, long now) {
        Life life = new Life(host.id(), host.service(), host.address(), host.nonce(), now - host.bornAgoMs())
                .at(host.zone(), host.seat(), host.worker());
        life.state = host.state();
        if (host.state() != Host.BOOTING) {
            life.upAt = now;
        }
        registry.add(life);
        if (!edge.equals(homes.edge(host.service(), host.seat()))) {
            registry.born(life, now);
        }
        Spot spot = fleet.spot(host.worker());
        if (spot != null && spot.draining()) {
            registry.leaving(life, "its worker drains");
        }
    }
}
