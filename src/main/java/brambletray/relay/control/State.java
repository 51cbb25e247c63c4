package brambletray.relay.control;

import java.io.Serializable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** What {@link Control} remembers: plain records of fact and containers. Nothing here decides. */
final class State {
    private State() {}

    /** Standing of a route: answering, failing (trials only), or back and held to the return budget. */
    enum Health {
        GOOD,
        OUT,
        RETURNING
    }

    /** What an entry of the agenda is for. */
    enum Duty {
        DEADLINE,
        COPY,
        LOOK,
        KEY,
        FORGET
    }

    /** Something due at a time; entries of one time keep their order. */
    record Entry(long at, long seq, Duty duty, Serializable of) implements Comparable<Entry>, Serializable {
        @Override
        public int compareTo(Entry other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(seq, other.seq);
        }

        /** True when nothing is left to do at its time. */
        boolean stale() {
            return of instanceof Attempt a && a.done || duty == Duty.DEADLINE && ((Msg) of).ended;
        }
    }

    /** One message: waiting in a band, parked behind its key, in flight, or ended. */
    static final class Msg implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        String id;
        Relay.MessageClass cls;
        Dest dest;
        Key key;
        /** {@code number}: by order of arrival. */
        long deadline;

        long aim;
        long number;

        int band;
        int extras;
        int open;
        int timeouts;
        boolean queued;
        boolean ended;
        boolean halving;
        double full;
        final List<Attempt> attempts = new ArrayList<>(2);

        Msg(Relay.Accepted e, Relay.MessageClass cls, Dest dest, long number) {
            id = e.id();
            deadline = e.deadline();
            this.cls = cls;
            this.dest = dest;
            this.number = number;
        }

        /** True when no other message of its key goes before it. */
        boolean first() {
            return key == null || key.line.peekFirst() == this;
        }

        /** True when some attempt is out or may have taken effect. */
        boolean mayHaveRun() {
            for (Attempt a : attempts) {
                if (a.maybeRan) {
                    return true;
                }
            }
            return false;
        }

        /** Worth of delivering at a time, as the settings of its class and the tenant's share have it. */
        double worth(long when) {
            if (when <= aim) {
                return full;
            }
            if (when > deadline) {
                return 0;
            }
            if (halving) {
                return full * Math.max(cls.lateWorth(), Math.pow(0.5, (double) (when - aim) / cls.aim()));
            }
            double part = (double) (when - aim) / Math.max(1, deadline - aim);
            return full * (1 - part * (1 - cls.lateWorth()));
        }

        int tries(Route route) {
            int n = 0;
            for (Attempt a : attempts) {
                n += a.route == route ? 1 : 0;
            }
            return n;
        }
    }

    /** One send of a message. {@code maybeRan} holds until its outcome proves otherwise. */
    static final class Attempt implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        Msg msg;
        Route route;
        Call call;
        /** {@code idle}: how long its connection had been idle; -1 for a new one. */
        long sent;

        long idle = -1;

        boolean done;
        boolean cancelled;
        boolean trial;
        boolean again;
        boolean overdue;
        boolean maybeRan = true;

        Attempt(Msg msg, Route route, long sent) {
            this.msg = msg;
            this.route = route;
            this.sent = sent;
        }

        /** Counts one that goes out, with this call. */
        void enter(Call with) {
            call = with;
            call.open++;
            call.size++;
            route.inflight++;
            msg.attempts.add(this);
            msg.open++;
        }

        /** Takes one that has ended out of the counts; true if that was the last of its call. */
        boolean leave() {
            Dest dest = route.dest;
            msg.open--;
            route.inflight--;
            route.trials -= trial ? 1 : 0;
            route.overdue -= overdue ? 1 : 0;
            dest.overdue -= overdue ? 1 : 0;
            boolean last = --call.open == 0;
            dest.calls -= last ? 1 : 0;
            return last;
        }
    }

    /** What holds one slot: one message, or a bundle. */
    static final class Call implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        int open;
        int size;
        /** How its messages ended so far. */
        final EnumSet<Relay.Outcome> told = EnumSet.noneOf(Relay.Outcome.class);
    }

    /** Messages that share a key, in the order in which they were taken. */
    static final class Key implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        String name;
        long restUntil;
        final ArrayDeque<Msg> line = new ArrayDeque<>();

        /** The first that is not over and out of the way; null if there is none. */
        Msg head() {
            while (!line.isEmpty() && line.peekFirst().ended && line.peekFirst().open == 0) {
                line.pollFirst();
            }
            return line.peekFirst();
        }
    }

    /** Orders of messages; an enum, so that it outlasts the process that sorted by it. */
    enum Order implements Comparator<Msg> {
        BY_AIM;

        @Override
        public int compare(Msg one, Msg other) {
            return one.aim != other.aim ? Long.compare(one.aim, other.aim) : Long.compare(one.number, other.number);
        }
    }

    /** Waiting messages of one sort: inside their aim, and past it; ones no longer queued are skipped. */
    static final class Band implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        /** By aim: in order of arrival where all have the same time. */
        final TreeSet<Msg> fresh = new TreeSet<>(Order.BY_AIM);

        final ArrayDeque<Msg> late = new ArrayDeque<>();

        Msg firstFresh() {
            while (!fresh.isEmpty() && !fresh.first().queued) {
                fresh.pollFirst();
            }
            return fresh.isEmpty() ? null : fresh.first();
        }

        Msg lastFresh() {
            while (!fresh.isEmpty() && !fresh.last().queued) {
                fresh.pollLast();
            }
            return fresh.isEmpty() ? null : fresh.last();
        }

        Msg firstLate() {
            while (!late.isEmpty() && !late.peekFirst().queued) {
                late.pollFirst();
            }
            return late.peekFirst();
        }

        Msg lastLate() {
            while (!late.isEmpty() && !late.peekLast().queued) {
                late.pollLast();
            }
            return late.peekLast();
        }

        /** Takes out a message that stands among the fresh or at the tail of the late. */
        void remove(Msg m) {
            if (!fresh.remove(m) && late.peekLast() == m) {
                late.pollLast();
            }
        }
    }

    /** A token bucket, full at its first use. */
    static final class Bucket implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        double tokens = Double.MAX_VALUE;
        private long filled;

        void fill(double perSecond, double most, long now) {
            tokens = Math.min(most, tokens + perSecond * (now - filled) / 1e6);
            filled = now;
        }

        boolean take() {
            boolean enough = tokens >= 1;
            tokens -= enough ? 1 : 0;
            return enough;
        }
    }

    /** What a limit and a wait belong to: a destination, or one route where routes are apart. */
    static final class Lane implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        final Bucket bucket = new Bucket();
        /** {@code rated}: the weight is a rate that was listed or told, in calls a second. */
        boolean rated;

        boolean told;

        double weight;
        double pace;
        long waitUntil;
        long backoffUntil;
        long refusedAt;
        /** Refusals in a row, those of calls that were out together counted once. */
        int refusals;
    }

    /** One endpoint: its standing, health and connections. */
    static final class Route implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        long id;
        int zone;
        int kind;
        Dest dest;
        Lane lane;
        /** {@code out}: taken out by hand. */
        boolean ready;

        boolean confirmed;
        boolean out;

        Health health = Health.GOOD;
        /** {@code broken}: new connections in a row that broke, with no answer between. */
        int inflight;

        int failRun;
        int broken;
        int trials;
        int overdue;
        /** Times in a row that it had no place for a connection, and how many calls may be out there. */
        int crowded;

        int places = Integer.MAX_VALUE;
        /** us; when it last had none, or when {@code places} last grew. */
        long crowdedAt = -1;
        /** {@code heldBefore}: us; how long its kind's connections were held before its connects failed. */
        double latency;

        double failing;
        double heldBefore;

        long backoffUntil;
        long lastOk;
        long lastOkSent = -1;
        long outSince;
        long returnAt;
        long lastSent;
        double spacing;
        final ArrayDeque<Long> idle = new ArrayDeque<>();
        Call bundle;
        long bundleTurn = -1;
        long goneAt;

        Route(long id, int zone, int kind) {
            this.id = id;
            this.zone = zone;
            this.kind = kind;
        }

        /** When its told wait and its back-offs are over. */
        long closedUntil() {
            return Math.max(Math.max(backoffUntil, dest.backoffUntil), Math.max(lane.waitUntil, lane.backoffUntil));
        }

        /** True when a connection idle since no earlier than that is left. */
        boolean warm(long since) {
            while (!idle.isEmpty() && idle.peekFirst() <= since) {
                idle.pollFirst();
            }
            return !idle.isEmpty();
        }
    }

    /** One destination: its routes, waiting messages, window and answers. */
    static final class Dest implements Serializable {
        private static final long serialVersionUID = Memory.VERSION;
        final Map<Long, Route> routes = new TreeMap<>();
        final Band[] bands;
        final CopyDelay copyDelay = new CopyDelay();
        Lane shared;
        private double marks;
        private long markedAt;
        /** Messages a second that come in for it, when the last one came. */
        double usualRate;

        double window = 1;
        double copies = 1;
        double latest;
        double usual;
        int kind = -1;
        int calls;
        int waiting;
        int overdue;
        int refusals;
        long lookAt;
        long refusedAt;
        long backoffUntil;

        Dest(int bands) {
            this.bands = new Band[bands];
            Arrays.setAll(this.bands, i -> new Band());
        }

        /** True when one of its routes answers. */
        boolean sound() {
            for (Route r : routes.values()) {
                if (r.health == Health.GOOD) {
                    return true;
                }
            }
            return false;
        }

        /** Counts a message into the rate over an exponential span; {@code age}: counted how long. */
        void mark(long now, long span, long age) {
            marks = marks * Math.exp((double) (markedAt - now) / span) + 1;
            markedAt = now;
            usualRate = marks * 1e6 / (span * -Math.expm1(-(double) age / span));
        }
    }
}
