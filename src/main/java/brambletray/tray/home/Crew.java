package brambletray.tray.home;

import brambletray.tray.tale.Tale;
import brambletray.tray.yard.Host;
import brambletray.tray.yard.Quit;
import brambletray.tray.yard.Seen;
import java.util.ArrayList;
import java.util.List;

/** The hosts of a seat through their lives: booting, up, doubted, leaving, stopped. */
final class Crew {
    private static final Tale TALE = Tale.of("home");
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

    final Posts posts;
    private final Ward ward;
    private final Places places;
    private final Starts starts;
    private final Index index;
    private final List<Leaver> leavers = new ArrayList<>();
    private long replaceUntil = Long.MIN_VALUE;

    Crew(Ward ward, Places places, Starts starts, Index index) {
        this.ward = ward;
        this.places = places;
        this.starts = starts;
        this.index = index;
        posts = new Posts(ward.laws.choice());
    }

    /**
     * A host told by the hub; new ones are taken in. {@code own}: born under this home, so that all its places are
     * known here.
     */
    void take(Host host, boolean own, long now) {
        Post post = posts.find(host.id());
        if (post == null) {
            if (host.state() != Host.LEAVING && !quitting(host.id())) {
                post = new Post(host, own, now);
                post.nextKnock = post.bornAt + starts.bootMs(ward.spec) / 2;
                posts.add(post);
                index.added(post.id);
            }
        } else if (post.booting() && host.state() == Host.UP) {
            up(post, now);
        } else if (host.state() == Host.LEAVING) {
            leaving(host.id(), now);
        }
    }

    boolean leaving(String id, long now) {
        Post post = posts.find(id);
        if (post == null || post.leaving()) {
            return false;
        }
        TALE.tell("leaving", "service", ward.service(), "host", id, "held", post.held);
        carried(post, now);
        post.state = Host.LEAVING;
        post.leavingSince = now;
        return true;
    }

    /** A host that carried load goes away: another is wanted, whether any ask waits yet or not. */
    private void carried(Post post, long now) {
        if (post.up() && (post.held > 0 || now - post.idleSince < 1000)) {
            replaceUntil = now + 2L * starts.bootMs(ward.spec);
        }
    }

    boolean replacing(long now) {
        return now < replaceUntil;
    }

    boolean gone(String id, long now) {
        leavers.removeIf(one -> one.id.equals(id));
        Post post = posts.find(id);
        if (post == null) {
            return false;
        }
        TALE.tell("gone", "service", ward.service(), "host", id, "held", post.held);
        carried(post, now);
        forget(post);
        return true;
    }

    /** Not used any more, and stopped. */
    void end(Post post, long now) {
        forget(post);
        Leaver one = new Leaver(post.id);
        one.next = now + QUIT_AGAIN_MS;
        leavers.add(one);
        ward.out.quit(new Quit(post.id, ward.service()));
    }

    /** Given up: not used any more, and stopped lest it cost on. */
    void drop(Post post, String why, long now) {
        TALE.tell("dropped", "service", ward.service(), "host", post.id, "why", why, "held", post.held);
        carried(post, now);
        end(post, now);
    }

    private void forget(Post post) {
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

    private void up(Post post, long now) {
        post.state = Host.UP;
        post.idleSince = now;
        post.misses = 0;
    }

    /** The answer to a knock. */
    void knocked(String id, boolean ok, int waiting, long now) {
        Post post = posts.find(id);
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

    private void booting(Post post, boolean ok, int waiting, long now) {
        if (ok) {
            up(post, now);
            if (post.own) {
                starts.measured(now - post.bornAt, ward.spec);
            }
            ward.out.seen(new Seen(post.id, ward.service()));
        } else if (now - post.bornAt > 6L * starts.bootMs(ward.spec) + 2000) {
            drop(post, "never came up", now);
        } else {
            post.nextKnock =
                    now + Math.max(ward.laws.scale().knockMs(), starts.bootMs(ward.spec) / (waiting > 0 ? 25 : 8));
        }
    }

    /** An answer was cut off or never came: a knock tells whether the host is still there. */
    void doubt(Post post, long now) {
        if (post.up() && !post.doubted) {
            post.doubted = true;
            post.nextKnock = now;
        }
    }

    /**
     * A try that found no host, by an edge or by a knock. The second in a row drops it, unless most hosts don't answer:
     * then it may be us.
     */
    void miss(Post post, long now) {
        posts.judge(post, Fate.UNREACHED, 0, now);
        int up = 0;
        int suspects = 0;
        for (Post one : posts.all()) {
            up += one.up() ? 1 : 0;
            suspects += one.up() && one.suspect(now) ? 1 : 0;
        }
        if (post.misses >= 2 && post.up() && suspects <= Math.max(1, up / 2)) {
            drop(post, "unreached", now);
        } else {
            post.nextKnock = post.misses == 1 ? now : Math.max(now + 1, post.pausedUntil - 30);
        }
    }

    private static boolean awaitsKnock(Post post) {
        return post.booting() || post.up() && (post.misses > 0 || post.doubted);
    }

    private static long knockDue(Post post) {
        return post.knockedAt == Long.MIN_VALUE
                ? post.nextKnock
                : Math.max(post.nextKnock, post.knockedAt + KNOCK_LOST_MS);
    }

    void tick(long now) {
        List<Post> all = posts.all();
        for (int i = 0; i < all.size(); i++) {
            Post post = all.get(i);
            if (awaitsKnock(post) && knockDue(post) <= now) {
                post.knockedAt = now;
                ward.out.knock(ward.service(), post.id, post.address);
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
                ward.out.quit(new Quit(one.id, ward.service()));
            }
        }
    }

    long nextDue(long now) {
        long next = posts.nextEase(now);
        List<Post> all = posts.all();
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
