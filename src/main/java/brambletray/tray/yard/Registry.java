package brambletray.tray.yard;

import brambletray.tray.tale.Tale;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The hosts that are known, and those that ended lately. Whoever is home of a host's seat is told what becomes of it.
 */
final class Registry {
    private static final Tale TALE = Tale.of("yard");
    /** Ended hosts, and ms, for which an id is remembered: lists that lag may show it still. */
    private static final int PAST_MOST = 8_192;

    private static final long PAST_AGE = 60_000;

    /** Why a host ended. {@code stopped}: the platform has confirmed the stop. */
    record End(String why, boolean stopped) {}

    private final Hands hands;
    private final Homes homes;
    private final Fleet fleet;
    private final Map<String, Life> lives = new LinkedHashMap<>();
    private final Map<String, Map<String, Life>> services = new HashMap<>();
    private final Map<String, Life> addresses = new HashMap<>();
    private final Recent<End> past = new Recent<>(PAST_MOST, PAST_AGE);

    Registry(Hands hands, Homes homes, Fleet fleet) {
        this.hands = hands;
        this.homes = homes;
        this.fleet = fleet;
    }

    Life get(String id) {
        return lives.get(id);
    }

    boolean empty() {
        return lives.isEmpty();
    }

    int size() {
        return lives.size();
    }

    Collection<Life> all() {
        return lives.values();
    }

    /** A copy: hosts may be removed while it is walked. */
    List<Life> of(String service) {
        Map<String, Life> crew = services.get(service);
        return crew == null ? List.of() : new ArrayList<>(crew.values());
    }

    /** A copy. */
    List<Life> at(String worker) {
        List<Life> there = new ArrayList<>();
        for (Life life : lives.values()) {
            if (worker.equals(life.worker)) {
                there.add(life);
            }
        }
        return there;
    }

    /** Those of a seat that may be given work or still have some. */
    List<Host> seat(String service, String seat, long now) {
        List<Host> hosts = new ArrayList<>();
        for (Life life : of(service)) {
            if (life.seat.equals(seat) && !life.stopping) {
                hosts.add(life.host(now));
            }
        }
        return hosts;
    }

    /** Adds it; tells nobody. */
    void add(Life life) {
        lives.put(life.id, life);
        services.computeIfAbsent(life.service, name -> new LinkedHashMap<>()).put(life.id, life);
        addresses.put(life.address, life);
        fleet.crew(life.worker, life.service, 1);
    }

    /** The platform has given this address to another host just now: who had it has ended. */
    void reused(String address, String by, long now) {
        Life former = addresses.get(address);
        if (former != null && !former.id.equals(by)) {
            gone(former, "its address has been given to " + by, false, now);
        }
    }

    /** A host turns out to be elsewhere than was thought. */
    void move(Life life, String zone, String worker) {
        life.zone = zone;
        if (worker != null && !worker.equals(life.worker)) {
            fleet.crew(life.worker, life.service, -1);
            life.worker = worker;
            fleet.crew(worker, life.service, 1);
        }
    }

    void born(Life life, long now) {
        tell(life, new Born(life.nonce, life.host(now)));
    }

    void leaving(Life life, String why) {
        if (life.state == Host.LEAVING) {
            return;
        }
        life.state = Host.LEAVING;
        TALE.tell("leaving", "host", life.id, "service", life.service, "why", why);
        if (!life.stopping) {
            tell(life, new Leaving(life.id, life.service));
        }
    }

    void gone(Life life, String why, boolean stopped, long now) {
        if (lives.remove(life.id) == null) {
            return;
        }
        Map<String, Life> crew = services.get(life.service);
        crew.remove(life.id);
        if (crew.isEmpty()) {
            services.remove(life.service);
        }
        addresses.remove(life.address, life);
        fleet.crew(life.worker, life.service, -1);
        ended(life.id, why, stopped, now);
        if (!stopped) {
            TALE.tell("gone", "host", life.id, "service", life.service, "worker", life.worker, "why", why);
        }
        tell(life, new Gone(life.id, life.service));
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

    private void tell(Life life, Object frame) {
        String home = homes.edge(life.service, life.seat);
        if (home != null) {
            hands.tell(home, frame);
        }
    }
}
