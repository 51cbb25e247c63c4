package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.List;

/**
 * How many hosts a seat has. Up: Little's places with headroom ({@link SlotDemand}), room for calls of hosts, and
 * starts
 * until the last one in line waits a bearable time; counting what boots already. Down: hosts that are empty, no longer
 * wanted, and idle for longer than a start is worth.
 */
final class Scaler {
    final SlotDemand demand;
    final KeepAlivePolicy keepAlive;
    private final QueueContext context;
    private final InstancePool instances;
    private final PendingStarts starts;
    private final NestedCallReserve room;
    private final SlotForecast forecast;
    private final long takenAt;

    Scaler(
            QueueContext context,
            InstancePool instances,
            PendingStarts starts,
            NestedCallReserve room,
            SlotForecast forecast,
            long now) {
        this.context = context;
        this.instances = instances;
        this.starts = starts;
        this.room = room;
        this.forecast = forecast;
        takenAt = now;
        demand = new SlotDemand(context.laws.scale());
        keepAlive = new KeepAlivePolicy(context.laws.keep());
    }

    /** Places at hosts that work. */
    int working(long now) {
        return instances.posts.well(now) * context.most();
    }

    /** What is up and what is under way, less {@code kept} places. */
    SlotForecast forecast(int kept, long now) {
        forecast.reset(Math.max(0, working(now) - kept), demand.workMs(context.spec), context.most(), now);
        int boot = starts.bootMs(context.spec);
        List<PooledInstance> all = instances.posts.all();
        for (int i = 0; i < all.size(); i++) {
            PooledInstance post = all.get(i);
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
    int waitMs(int ahead, RefusedRequests herd, long now) {
        SlotForecast sight = forecast(room.kept(working(now), now), now);
        int wait = sight.waitMs(ahead);
        if (wait < SlotForecast.NEVER) {
            return sight.waitMs(ahead + herd.within(wait, now));
        }
        return starts.bootMs(context.spec) + starts.blockedMs(now);
    }

    /** Hosts that a rate of requests needs, with room for calls of hosts. */
    private int wanted(double rate, long now) {
        double need = demand.places(rate, context.spec);
        int n = (int) Math.ceil(need / context.most() - 1e-9);
        int least = room.leastPlaces(now);
        while (n > 0
                && (n * context.most() < least || n * context.most() - room.kept(n * context.most(), now) < need)) {
            n++;
        }
        return n;
    }

    /**
     * Starts what is missing. {@code least}: hosts wanted whatever the demand; {@code waiting}: those in line and
     * promised to be back.
     */
    void scale(int least, int waiting, long now) {
        int booting = instances.posts.count(InstanceInfo.BOOTING);
        int well = instances.posts.well(now);
        int have = well + booting + starts.open();
        int want = have == 0 && least == 0 ? 0 : Math.max(least, wanted(demand.rate(now), now));
        while (have < want && starts.may(booting, well, now)) {
            starts.ask(waiting, context.out, now);
            have++;
        }
        if (waiting > 0 && have > 0) {
            int boot = starts.bootMs(context.spec);
            int slack = (int) (context.laws.queue().safe() * context.spec.targetMs()) - demand.tailMs(context.spec);
            int bearable = Math.max(slack, boot + boot / 2);
            SlotForecast sight = forecast(0, now);
            while (starts.may(booting, well, now) && sight.waitMs(waiting - 1) > bearable) {
                starts.ask(waiting, context.out, now);
                sight.boot(now + boot);
            }
        }
    }

    /**
     * Starts hosts for calls whose parents hold all places, unless so many boot already: no place would come back by
     * itself.
     */
    void relieve(int stalledCalls, int waiting, long now) {
        if (stalledCalls == 0) {
            return;
        }
        room.stalled(now);
        int booting = instances.posts.count(InstanceInfo.BOOTING);
        int wanted = (stalledCalls + context.most() - 1) / context.most();
        for (int under = booting + starts.open(); under < wanted; under++) {
            if (starts.may(booting, instances.posts.well(now), now)) {
                starts.ask(waiting, context.out, now);
            }
        }
    }

    /**
     * Ends hosts that are empty and no longer worth their memory. {@code least}: hosts kept whatever happens; {@code
     * closing}: none is.
     */
    void retire(int least, boolean closing, long now) {
        List<PooledInstance> all = instances.posts.all();
        int n = instances.posts.well(now);
        int keep = closing ? 0 : Math.max(least, Math.max(1, wanted(demand.slowRate(now), now)));
        for (int i = all.size() - 1; i >= 0; i--) {
            PooledInstance post = all.get(i);
            if (post.held > 0 || post.booting()) {
                continue;
            }
            if (post.leaving()) {
                if (now - post.leavingSince >= context.laws.choice().leaveMs()) {
                    instances.end(post, now);
                }
            } else if (closing
                    || n > least
                            && (n > keep || n == 1)
                            && now - takenAt >= context.laws.keep().settleMs()
                            && now - post.idleSince >= span(n)) {
                instances.end(post, now);
                n--;
            }
        }
    }

    /** Ends hosts that have been idle for so long, for others that need their memory. */
    void reclaim(int idleMs, long now) {
        List<PooledInstance> all = instances.posts.all();
        for (int i = all.size() - 1; i >= 0; i--) {
            PooledInstance post = all.get(i);
            if (post.up() && post.held == 0 && now - post.idleSince >= idleMs) {
                instances.end(post, now);
            }
        }
    }

    private int span(int n) {
        int boot = starts.bootMs(context.spec);
        return n == 1 ? keepAlive.spanMs(context.spec, boot) : keepAlive.breakEvenMs(context.spec, boot);
    }

    /** When a host may have been idle for long enough. */
    long nextDue(int least, boolean closing, long now) {
        long next = Long.MAX_VALUE;
        int n = instances.posts.well(now);
        List<PooledInstance> all = instances.posts.all();
        for (int i = 0; i < all.size(); i++) {
            PooledInstance post = all.get(i);
            if (post.held > 0 || post.booting()) {
                continue;
            }
            if (closing) {
                return now + 1;
            }
            if (post.leaving()) {
                next = Math.min(
                        next,
                        Math.max(
                                now + 1,
                                post.leavingSince + context.laws.choice().leaveMs()));
            } else if (n > least) {
                long at = Math.max(
                        post.idleSince + span(n), takenAt + context.laws.keep().settleMs());
                next = Math.min(next, at > now ? at : now + 500);
            }
        }
        return next;
    }
}
