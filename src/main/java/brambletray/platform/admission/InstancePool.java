package brambletray.platform.admission;

import brambletray.platform.logging.EventLog;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayList;
import java.util.List;

/** The hosts of a seat through their lives: booting, up, doubted, leaving, stopped. */
final class InstancePool {
    private static final EventLog LOG = EventLog.of("admission");
    private static final int QUIT_AGAIN_MS = 1000;
    private static final int QUIT_TRIES = 20;
    /** A knock that has no answer by then is taken as lost. */
    private static final int KNOCK_LOST_MS = 1000;

    /** Told which hosts are this seat's. */
    interface Index {
        void added(String host);

        void removed(String host);
    }

    private static final class Leaver {
        final String id;
        long next;
        int tries;

        Leaver(String id) {
            this.id = id;
        }
    }

    final PooledInstances posts;
    private final QueueContext context;
    private final InstanceSlots places;
    private final PendingStarts starts;
    private final Index index;
    private final List<Leaver> leavers = new ArrayList<>();
    private long replaceUntil = Long.MIN_VALUE;

    InstancePool(QueueContext context, InstanceSlots places, PendingStarts starts, Index index) {
        this.context = context;
        this.places = places;
        this.starts = starts;
        this.index = index;
        posts = new PooledInstances(context.laws.choice());
    }

    /**
     * A host told by the hub; new ones are taken in. {@code own}: born under this home, so that all its places are
     * known here.
     */
    void take(InstanceInfo host, boolean own, long now) {
        PooledInstance post = posts.find(host.id());
        if (post == null) {
            if (host.state() != InstanceInfo.LEAVING && !quitting(host.id())) {
                post = new PooledInstance(host, own, now);
                post.nextKnock = post.bornAt + starts.bootMs(context.spec) / 2;
                posts.add(post);
                index.added(post.id);
            }
        } else if (post.booting() && host.state() == InstanceInfo.UP) {
            up(post, now);
        } else if (host.state() == InstanceInfo.LEAVING) {
            leaving(host.id(), now);
        }
    }

    boolean leaving(String id, long now) {
        PooledInstance post = posts.find(id);
        if (post == null || post.leaving()) {
            return false;
        }
        LOG.info("leaving")
                .with("service", context.service())
                .with("host", id)
                .with("held", post.held)
                .log();
        carried(post, now);
        post.state = InstanceInfo.LEAVING;
        post.leavingSince = now;
        return true;
    }

    /** A host that carried load goes away: another is wanted, whether any ask waits yet or not. */
    private void carried(PooledInstance post, long now) {
        if (post.up() && (post.held > 0 || now - post.idleSince < 1000)) {
            replaceUntil = now + 2L * starts.bootMs(context.spec);
        }
    }

    boolean replacing(long now) {
        return now < replaceUntil;
    }

    boolean gone(String id, long now) {
        leavers.removeIf(one -> one.id.equals(id));
        PooledInstance post = posts.find(id);
        if (post == null) {
            return false;
        }
        LOG.info("gone")
                .with("service", context.service())
                .with("host", id)
                .with("held", post.held)
                .log();
        carried(post, now);
        forget(post);
        return true;
    }

    /** Not used any more, and stopped. */
    void end(PooledInstance post, long now) {
        forget(post);
        Leaver one = new Leaver(post.id);
        one.next = now + QUIT_AGAIN_MS;
        leavers.add(one);
        context.out.quit(new StopRequest(post.id, context.service()));
    }

    /** Given up: not used any more, and stopped lest it cost on. */
    void drop(PooledInstance post, String why, long now) {
        LOG.info("dropped")
                .with("service", context.service())
                .with("host", post.id)
                .with("why", why)
                .with("held", post.held)
                .log();
        carried(post, now);
        end(post, now);
    }

    private void forget(PooledInstance post) {
        posts.remove(post);
        index.removed(post.id);
        places.drop(post);
    }

    private boolean quitting(String id) {
        for (Leaver one : leavers) {
            if (one.id.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** No host, and none to be stopped. */
    boolean empty() {
        return posts.all().isEmpty() && leavers.isEmpty();
    }

    private void up(PooledInstance post, long now) {
        post.state = InstanceInfo.UP;
        post.idleSince = now;
        post.misses = 0;
    }

    /** The answer to a knock. */
    void knocked(String id, boolean ok, int waiting, long now) {
        PooledInstance post = posts.find(id);
        if (post == null) {
            return;
        }
        post.knockedAt = Long.MIN_VALUE;
        if (post.booting()) {
            booting(post, ok, waiting, now);
        } else if (ok) {
            post.misses = 0;
            post.pauses = 0;
            post.doubted = false;
            post.pausedUntil = Math.min(post.pausedUntil, now);
        } else if (post.up() && (post.misses > 0 || post.doubted)) {
            miss(post, now);
        }
    }

    private void booting(PooledInstance post, boolean ok, int waiting, long now) {
        if (ok) {
            up(post, now);
            if (post.own) {
                starts.measured(now - post.bornAt, context.spec);
            }
            context.out.seen(new InstanceUp(post.id, context.service()));
        } else if (now - post.bornAt > 6L * starts.bootMs(context.spec) + 2000) {
            drop(post, "never came up", now);
        } else {
            post.nextKnock = now
                    + Math.max(context.laws.scale().knockMs(), starts.bootMs(context.spec) / (waiting > 0 ? 25 : 8));
        }
    }

    /** An answer was cut off or never came: a knock tells whether the host is still there. */
    void doubt(PooledInstance post, long now) {
        if (post.up() && !post.doubted) {
            post.doubted = true;
            post.nextKnock = now;
        }
    }

    /**
     * A try that found no host, by an edge or by a knock. The second in a row drops it, unless most hosts don't answer:
     * then it may be us.
     */
    void miss(PooledInstance post, long now) {
        posts.judge(post, AttemptOutcome.UNREACHED, 0, now);
        int up = 0;
        int suspects = 0;
        for (PooledInstance one : posts.all()) {
            up += one.up() ? 1 : 0;
            suspects += one.up() && one.suspect(now) ? 1 : 0;
        }
        if (post.misses >= 2 && post.up() && suspects <= Math.max(1, up / 2)) {
            drop(post, "unreached", now);
        } else {
            post.nextKnock = post.misses == 1 ? now : Math.max(now + 1, post.pausedUntil - 30);
        }
    }

    private static boolean awaitsKnock(PooledInstance post) {
        return post.booting() || post.up() && (post.misses > 0 || post.doubted);
    }

    private static long knockDue(PooledInstance post) {
        return post.knockedAt == Long.MIN_VALUE
                ? post.nextKnock
                : Math.max(post.nextKnock, post.knockedAt + KNOCK_LOST_MS);
    }

    void tick(long now) {
        List<PooledInstance> all = posts.all();
        for (int i = 0; i < all.size(); i++) {
            PooledInstance post = all.get(i);
            if (awaitsKnock(post) && knockDue(post) <= now) {
                post.knockedAt = now;
                context.out.knock(context.service(), post.id, post.address);
            }
        }
        for (int i = leavers.size() - 1; i >= 0; i--) {
            Leaver one = leavers.get(i);
            if (one.next > now) {
                continue;
            }
            one.next = now + QUIT_AGAIN_MS;
            if (++one.tries >= QUIT_TRIES) {
                leavers.remove(i);
            } else {
                context.out.quit(new StopRequest(one.id, context.service()));
            }
        }
    }

    long nextDue(long now) {
        long next = posts.nextEase(now);
        List<PooledInstance> all = posts.all();
        for (int i = 0; i < all.size(); i++) {
            if (awaitsKnock(all.get(i))) {
                next = Math.min(next, knockDue(all.get(i)));
            }
        }
        for (int i = 0; i < leavers.size(); i++) {
            next = Math.min(next, leavers.get(i).next);
        }
        return next;
    }
}
