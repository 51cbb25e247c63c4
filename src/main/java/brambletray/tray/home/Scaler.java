package brambletray.tray.home;

import brambletray.tray.yard.Host;
import java.util.List;

/**
 * How many hosts a seat has. Up: Little's places with headroom ({@link Demand}), room for calls of hosts, and starts
 * until the last one in line waits a bearable time; counting what boots already. Down: hosts that are empty, no longer
 * wanted, and idle for longer than a start is worth.
 */
final class Scaler {
    final Demand demand;
    final Keeping keeping;
    private final Ward ward;
    private final Crew crew;
    private final Starts starts;
    private final Room room;
    private final Forecast forecast;
    private final long takenAt;

    Scaler(Ward ward, Crew crew, Starts starts, Room room, Forecast forecast, long now) {
        this.ward = ward;
        this.crew = crew;
        this.starts = starts;
        this.room = room;
        this.forecast = forecast;
        takenAt = now;
        demand = new Demand(ward.laws.scale());
        keeping = new Keeping(ward.laws.keep());
    }

    /** Places at hosts that work. */
    int working(long now) {
        return crew.posts.well(now) * ward.most();
    }

    /** What is up and what is under way, less {@code kept} places. */
    Forecast forecast(int kept, long now) {
        forecast.reset(Math.max(0, working(now) - kept), demand.workMs(ward.spec), ward.most(), now);
        int boot = starts.bootMs(ward.spec);
        List<Post> all = crew.posts.all();
        for (int i = 0; i < all.size(); i++) {
            Post post = all.get(i);
            if (post.booting()) {
                forecast.boot(Math.max(now + boot / 8, post.bornAt + boot));
            }
        }
        for (int i = 0; i < starts.open(); i++) {
            forecast.boot(Math.max(now + boot / 4, starts.since(i) + boot));
        }
        return forecast;
    }

    /** ms until a place is free for the one after {@code ahead} others. */
    int waitMs(int ahead, Herd herd, long now) {
        Forecast sight = forecast(room.kept(working(now), now), now);
        int wait = sight.waitMs(ahead);
        if (wait < Forecast.NEVER) {
            return sight.waitMs(ahead + herd.within(wait, now));
        }
        return starts.bootMs(ward.spec) + starts.blockedMs(now);
    }

    /** Hosts that a rate of requests needs, with room for calls of hosts. */
    private int wanted(double rate, long now) {
        double need = demand.places(rate, ward.spec);
        int n = (int) Math.ceil(need / ward.most() - 1e-9);
        int least = room.leastPlaces(now);
        while (n > 0 && (n * ward.most() < least || n * ward.most() - room.kept(n * ward.most(), now) < need)) {
            n++;
        }
        return n;
    }

    /**
     * Starts what is missing. {@code least}: hosts wanted whatever the demand; {@code waiting}: those in line and
     * promised to be back.
     */
    void scale(int least, int waiting, long now) {
        int booting = crew.posts.count(Host.BOOTING);
        int well = crew.posts.well(now);
        int have = well + booting + starts.open();
        int want = have == 0 && least == 0 ? 0 : Math.max(least, wanted(demand.rate(now), now));
        while (have < want && starts.may(booting, well, now)) {
            starts.ask(waiting, ward.out, now);
            have++;
        }
        if (waiting > 0 && have > 0) {
            int boot = starts.bootMs(ward.spec);
            int slack = (int) (ward.laws.queue().safe() * ward.spec.targetMs()) - demand.tailMs(ward.spec);
            int bearable = Math.max(slack, boot + boot / 2);
            Forecast sight = forecast(0, now);
            while (starts.may(booting, well, now) && sight.waitMs(waiting - 1) > bearable) {
                starts.ask(waiting, ward.out, now);
                sight.boot(now + boot);
            }
        }
    }

    /** Starts hosts for calls whose parents hold all places, unless so many boot already: no place would come back by itself. */
    void relieve(int stalledCalls, int waiting, long now) {
        if (stalledCalls == 0) {
            return;
        }
        room.stalled(now);
        int booting = crew.posts.count(Host.BOOTING);
        int wanted = (stalledCalls + ward.most() - 1) / ward.most();
        for (int under = booting + starts.open(); under < wanted; under++) {
            if (starts.may(booting, crew.posts.well(now), now)) {
                starts.ask(waiting, ward.out, now);
            }
        }
    }

    /** Ends hosts that are empty and no longer worth their memory. {@code least}: hosts kept whatever happens; {@code closing}: none is. */
    void retire(int least, boolean closing, long now) {
        List<Post> all = crew.posts.all();
        int n = crew.posts.well(now);
        int keep = closing ? 0 : Math.max(least, Math.max(1, wanted(demand.slowRate(now), now)));
        for (int i = all.size() - 1; i >= 0; i--) {
            Post post = all.get(i);
            if (post.held > 0 || post.booting()) {
                continue;
            }
            if (post.leaving()) {
                if (now - post.leavingSince >= ward.laws.choice().leaveMs()) {
                    crew.end(post, now);
                }
            } else if (closing
                    || n > least
                            && (n > keep || n == 1)
                            && now - takenAt >= ward.laws.keep().settleMs()
                            && now - post.idleSince >= span(n)) {
                crew.end(post, now);
                n--;
            }
        }
    }

    /** Ends hosts that have been idle for so long, for others that need their memory. */
    void reclaim(int idleMs, long now) {
        List<Post> all = crew.posts.all();
        for (int i = all.size() - 1; i >= 0; i--) {
            Post post = all.get(i);
            if (post.up() && post.held == 0 && now - post.idleSince >= idleMs) {
                crew.end(post, now);
            }
        }
    }

    private int span(int n) {
        int boot = starts.bootMs(ward.spec);
        return n == 1 ? keeping.spanMs(ward.spec, boot) : keeping.breakEvenMs(ward.spec, boot);
    }

    /** When a host may have been idle for long enough. */
    long nextDue(int least, boolean closing, long now) {
        long next = Long.MAX_VALUE;
        int n = crew.posts.well(now);
        List<Post> all = crew.posts.all();
        for (int i = 0; i < all.size(); i++) {
            Post post = all.get(i);
            if (post.held > 0 || post.booting()) {
                continue;
            }
            if (closing) {
                return now + 1;
            }
            if (post.leaving()) {
                next = Math.min(
                        next,
                        Math.max(now + 1, post.leavingSince + ward.laws.choice().leaveMs()));
            } else if (n > least) {
                long at = Math.max(
                        post.idleSince + span(n), takenAt + ward.laws.keep().settleMs());
                next = Math.min(next, at > now ? at : now + 500);
            }
        }
        return next;
    }
}
