package brambletray.platform.admission;

import brambletray.platform.logging.EventLog;
import brambletray.platform.provisioning.InstanceDraining;
import brambletray.platform.provisioning.InstanceGone;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.KnownInstances;
import brambletray.platform.provisioning.Reclaim;
import brambletray.platform.provisioning.StartRefusal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * All seats that an edge is home of, in one zone. Pure: {@code now} is in ms of a steady clock and never goes back. One
 * thread. Seats that have nothing to do cost nothing: {@link #tick} touches only those that are due, {@link #nextDue}
 * tells when the next one is.
 */
public final class ServiceQueues {
    private static final EventLog LOG = EventLog.of("admission");

    private record Due(long at, ServiceQueue seat) {}

    private final String zone;
    private final AdmissionParameters laws;
    private final StartNonces nonces;
    private final AdmissionActions out;
    private final SlotForecast forecast = new SlotForecast();
    private final Map<String, ServiceQueue> seats = new HashMap<>();
    private final Map<String, ServiceQueue> seatOf = new HashMap<>();
    private final Map<String, ServiceSpec> specs = new HashMap<>();
    private final PriorityQueue<Due> dues = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

    /** {@code zone}: the seats' zone; {@code prefix}: of nonces, unique to node and life, at most 48 characters. */
    public ServiceQueues(String zone, String prefix, AdmissionParameters laws, AdmissionActions out) {
        this.zone = zone;
        this.laws = laws;
        this.nonces = new StartNonces(prefix);
        this.out = out;
    }

    /** A service is there, or has changed. Its seat, where this edge has it, goes by the new figures from now on. */
    public void spec(ServiceSpec spec, long now) {
        ServiceSpec before = specs.put(spec.service(), spec);
        ServiceQueue seat = seats.get(spec.service());
        if (seat != null && !spec.equals(before)) {
            seat.change(spec, seat.rootZone());
            seat.tick(now);
            plan(seat, now);
        }
    }

    /** A service is no more: its seat ends its hosts as they become empty, and then is given up. */
    public void withdraw(String service, long now) {
        specs.remove(service);
        ServiceQueue seat = seats.get(service);
        if (seat != null) {
            seat.withdraw(now);
            plan(seat, now);
        }
    }

    /**
     * This edge is home of a service's seat in this zone from now on; {@code rootZone}: where the service's root seat
     * is; {@code edges}: those that may hold places given out by another home before, empty where there was none. A
     * seat that is held already only learns the root. Services unknown to {@link #spec} are left out.
     */
    public void take(String service, String rootZone, Collection<String> edges, long now) {
        ServiceSpec spec = specs.get(service);
        if (spec == null) {
            return;
        }
        ServiceQueue seat = seats.get(service);
        if (seat == null) {
            seat = new ServiceQueue(new QueueContext(spec, zone, laws, out), rootZone, nonces, forecast, seatOf, now);
            seat.expect(edges, now);
            seats.put(service, seat);
        } else if (seat.rootZone().equals(rootZone)) {
            return;
        } else {
            seat.change(spec, rootZone);
        }
        seat.tick(now);
        plan(seat, now);
    }

    /** Another edge is home now: nothing more is sent; those in line are to be asked anew there by their edges. */
    public void cede(String service, long now) {
        ServiceQueue seat = seats.remove(service);
        if (seat != null) {
            seat.scheduled = Long.MIN_VALUE;
            seatOf.values().removeIf(one -> one == seat);
            if (seat.waiting() > 0 || seat.heldPlaces() > 0) {
                LOG.info("ceded")
                        .with("service", service)
                        .with("held", seat.heldPlaces())
                        .with("waiting", seat.waiting())
                        .log();
            }
        }
    }

    /** Services whose seat is held. */
    public Collection<String> services() {
        return List.copyOf(seats.keySet());
    }

    public boolean holds(String service) {
        return seats.containsKey(service);
    }

    /**
     * An edge asks for a place; false where no seat of the service is held here. {@code stay}: it is to be served here
     * although another zone's seat might be better, as that one cannot be reached. */
    public boolean ask(SlotRequest ask, boolean stay, long now) {
        ServiceQueue seat = seats.get(ask.service());
        if (seat == null) {
            return false;
        }
        seat.ask(ask, stay, now);
        plan(seat, now);
        return true;
    }

    /** An edge gives a place back. */
    public void done(String edge, SlotRelease done, long now) {
        ServiceQueue seat = seatOf.get(done.host());
        if (seat != null) {
            seat.done(edge, done, now);
            plan(seat, now);
        } else {
            seats.values().forEach(one -> one.doneEarly(edge, done));
        }
    }

    /** An edge no longer waits for an ask's answer, and will not use a grant that is on its way. */
    public void forget(String edge, SlotRequestCancel forget, long now) {
        ServiceQueue seat = seats.get(forget.service());
        if (seat != null) {
            seat.forget(edge, forget.askId(), now);
            plan(seat, now);
        }
    }

    /** An edge tells what it holds (an empty list tells as well). */
    public void held(HeldSlots held, long now) {
        ServiceQueue seat = seats.get(held.service());
        if (seat != null) {
            seat.held(held, now);
            plan(seat, now);
        }
    }

    /** An edge is gone, by the roster: its places are closed for a while, its asks leave the lines. */
    public void edgeGone(String edge, long now) {
        for (ServiceQueue seat : seats.values()) {
            seat.edgeGone(edge, now);
            plan(seat, now);
        }
    }

    public void hosts(InstanceList hosts, long now) {
        ServiceQueue seat = zone.equals(hosts.seat()) ? seats.get(hosts.service()) : null;
        if (seat != null) {
            seat.hosts(hosts, now);
            plan(seat, now);
        }
    }

    public void born(InstanceStarted born, long now) {
        ServiceQueue seat =
                zone.equals(born.host().seat()) ? seats.get(born.host().service()) : null;
        if (seat != null) {
            seat.born(born, now);
            plan(seat, now);
        }
    }

    public void noRoom(StartRefusal answer, long now) {
        for (ServiceQueue seat : seats.values()) {
            if (seat.noRoom(answer, now)) {
                plan(seat, now);
                return;
            }
        }
    }

    /** No worker has room: instances that have been idle for so long end, that others may start. */
    public void reclaim(Reclaim reclaim, long now) {
        for (ServiceQueue seat : seats.values()) {
            seat.reclaim(reclaim.idleMs(), now);
            plan(seat, now);
        }
    }

    public void leaving(InstanceDraining leaving, long now) {
        ServiceQueue seat = seats.get(leaving.service());
        if (seat != null) {
            seat.leaving(leaving.id(), now);
            plan(seat, now);
        }
    }

    public void gone(InstanceGone gone, long now) {
        ServiceQueue seat = seats.get(gone.service());
        if (seat != null) {
            seat.gone(gone.id(), now);
            plan(seat, now);
        }
    }

    /** The answer to {@link AdmissionActions#knock}: whether a connection came up. */
    public void knocked(String hostId, boolean ok, long now) {
        ServiceQueue seat = seatOf.get(hostId);
        if (seat != null) {
            seat.knocked(hostId, ok, now);
            plan(seat, now);
        }
    }

    /** All hosts that these seats know, for a new hub. */
    public KnownInstances mine(long now) {
        List<InstanceInfo> all = new ArrayList<>();
        for (ServiceQueue seat : seats.values()) {
            all.addAll(seat.mine(now));
        }
        return new KnownInstances(all);
    }

    /** Does what is due. */
    public void tick(long now) {
        for (Due due = dues.peek(); due != null && due.at <= now; due = dues.peek()) {
            dues.poll();
            if (due.seat.scheduled == due.at) {
                due.seat.scheduled = Long.MAX_VALUE;
                due.seat.tick(now);
                if (due.seat.over()) {
                    seats.remove(due.seat.service());
                } else {
                    plan(due.seat, now);
                }
            }
        }
    }

    /** When {@link #tick} is due next, ms; {@link Long#MAX_VALUE}: not before something else happens. */
    public long nextDue() {
        Due due = dues.peek();
        return due == null ? Long.MAX_VALUE : due.at;
    }

    private void plan(ServiceQueue seat, long now) {
        long at = Math.max(now + 1, seat.nextDue(now));
        if (at < seat.scheduled && at != Long.MAX_VALUE && at > Long.MIN_VALUE) {
            seat.scheduled = at;
            dues.add(new Due(at, seat));
        }
    }
}
