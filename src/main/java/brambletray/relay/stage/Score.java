package brambletray.relay.stage;

import brambletray.relay.emulator.Ledger;
import brambletray.relay.script.Script;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * What became of every line that clients asked to have delivered: pure, told what passes at the clients and
 * at the agents, with times in ns of the world. A line is what a client wants delivered once; it may be
 * handed in under several ids, {@code LINE.TRY}.
 */
public final class Score {
    private static final long SECOND = 1_000_000_000L;
    /** ns; a message whose time is up by so much, and that has neither been delivered nor ended, is lost. */
    private static final long LOST_AFTER = 300_000_000L;

    private static final long AFTER_RESTART = 1_500_000_000L;
    private static final int STRETCH_S = 10;
    private static final int LOST_TOLD_MOST = 100;

    /** A share of the worth: of all lines, and of those asked for in each second. */
    private static final class Worth {
        private double asked;
        private double got;
    }

    private static final class Line {
        final Script.MessageClass messageClass;
        final long asked;
        final List<Try> tries = new ArrayList<>();

        Line(Script.MessageClass messageClass, long asked) {
            this.messageClass = messageClass;
            this.asked = asked;
        }
    }

    private static final class Try {
        final String id;
        /** Taken on, or answered anything else; when a notice came, -1 for none. */
        boolean taken;

        boolean refused;

        long noticed = -1;
        boolean handedBack;

        Try(String id) {
            this.id = id;
        }
    }

    /**
     * All figures of one run. {@code open}: of those given up, the ones with no notice yet. {@code lost}:
     * ids of messages that were taken on and got no end in time.
     */
    public record Result(
            long asked,
            long delivered,
            long late,
            long handedBack,
            long givenUp,
            long turnedAway,
            long unanswered,
            long open,
            double whole,
            double worst,
            double score,
            List<String> lost,
            long lostCount,
            List<Ledger.Breach> breaches,
            long breachCount,
            List<Double> bySecond,
            Map<String, Double> byClass) {
        /** True when every message had its end and no rule was broken. */
        public boolean clean() {
            return lostCount == 0 && breachCount == 0;
        }
    }

    private final Ledger ledger;
    private final LongSupplier clock;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final List<long[]> restarts = new ArrayList<>();
    /** Taken on, and perhaps not ended; the eldest first. */
    private final ArrayDeque<Try> underWay = new ArrayDeque<>();

    /** {@code clock}: the world's time, ns. */
    public Score(Ledger ledger, LongSupplier clock) {
        this.ledger = ledger;
        this.clock = clock;
    }

    private void saw(String id, String what) {
        ledger.witness().saw(clock.getAsLong(), id, what);
    }

    /** The line of an id. */
    public static String line(String id) {
        int dot = id.lastIndexOf('.');
        return dot < 0 ? id : id.substring(0, dot);
    }

    /** A line is asked for. */
    void asked(String line, Script.MessageClass messageClass, long now) {
        lines.put(line, new Line(messageClass, now));
    }

    /** It is handed in under this id. */
    void handedIn(String id) {
        lines.get(line(id)).tries.add(new Try(id));
        saw(id, "handed in");
    }

    private Try find(String id) {
        Line line = lines.get(line(id));
        if (line != null) {
            for (Try t : line.tries) {
                if (t.id.equals(id)) {
                    return t;
                }
            }
        }
        return null;
    }

    void taken(String id) {
        Try t = find(id);
        t.taken = true;
        saw(id, "answered 202");
        underWay.addLast(t);
    }

    void refused(String id) {
        find(id).refused = true;
        saw(id, "refused at the door");
    }

    /** The client has left without an answer. */
    void left(String id) {
        ledger.voided(id);
        saw(id, "client left without an answer");
    }

    /** A notice has come; false for a message that nobody knows. */
    boolean noticed(String id, boolean handedBack, long now) {
        Try t = find(id);
        if (t != null && t.noticed < 0) {
            t.noticed = now;
            saw(id, handedBack ? "ended by a notice: handed back" : "ended by a notice: given up");
            t.handedBack = handedBack;
        }
        return t != null;
    }

    /** True while something that was taken on has not ended, and its time is not up. */
    boolean open(long now) {
        while (!underWay.isEmpty()) {
            Try t = underWay.peekFirst();
            Line line = lines.get(line(t.id));
            if (t.noticed < 0 && ledger.deliveredAt(t.id) < 0 && now < end(line)) {
                return true;
            }
            underWay.pollFirst();
        }
        return false;
    }

    /** From then on what has not ended is lost; ns. */
    private long end(Line line) {
        long end = line.asked + line.messageClass.limit() * 1_000_000 + LOST_AFTER;
        for (long[] restart : restarts) {
            end = end >= restart[0] && end < restart[1] ? restart[1] : end;
        }
        return end;
    }

    /** A relay was dead and is back: no end is overdue from then until 1.5 s after it serves again. */
    void restarted(long killed, long serving) {
        restarts.add(new long[] {killed, serving + AFTER_RESTART});
    }

    /** True for a message of this crowd's. */
    boolean knows(String id) {
        return lines.containsKey(line(id));
    }

    String effect(String id) {
        return lines.get(line(id)).messageClass.effect();
    }

    /** The figures up to now; what is still open counts as not delivered, and as lost when its time is up. */
    public Result result(long now) {
        long delivered = 0;
        long late = 0;
        long handedBack = 0;
        long givenUp = 0;
        long turnedAway = 0;
        long unanswered = 0;
        long open = 0;
        long lostCount = 0;
        List<String> lost = new ArrayList<>();
        Worth whole = new Worth();
        Map<String, Worth> classes = new TreeMap<>();
        TreeMap<Long, Worth> seconds = new TreeMap<>();
        for (Map.Entry<String, Line> entry : lines.entrySet()) {
            Line line = entry.getValue();
            long at = -1;
            for (Try t : line.tries) {
                long got = ledger.deliveredAt(t.id);
                at = got >= 0 && (at < 0 || got < at) ? got : at;
                long end = end(line);
                if (t.taken && now > end && (got < 0 || got > end) && (t.noticed < 0 || t.noticed > end)) {
                    lostCount++;
                    if (lost.size() < LOST_TOLD_MOST) {
                        lost.add(t.id);
                    }
                }
            }
            double worth = worth(line, at);
            Worth second = seconds.computeIfAbsent(line.asked / SECOND, s -> new Worth());
            Worth ofClass = classes.computeIfAbsent(line.messageClass.name(), c -> new Worth());
            for (Worth w : List.of(whole, second, ofClass)) {
                w.asked += line.messageClass.worth();
                w.got += worth * line.messageClass.worth();
            }
            Try last = line.tries.isEmpty() ? null : line.tries.get(line.tries.size() - 1);
            if (worth > 0) {
                delivered++;
                late += worth < 1 ? 1 : 0;
            } else if (last == null || !last.taken && !last.refused) {
                unanswered++;
            } else if (!last.taken) {
                turnedAway++;
            } else if (last.handedBack) {
                handedBack++;
            } else {
                givenUp++;
                open += last.noticed < 0 ? 1 : 0;
            }
        }
        double share = whole.asked == 0 ? 1 : whole.got / whole.asked;
        double worst = worstStretch(seconds, share);
        List<Double> bySecond = new ArrayList<>();
        for (long s = 0; !seconds.isEmpty() && s <= seconds.lastKey(); s++) {
            Worth w = seconds.get(s);
            bySecond.add(w == null || w.asked == 0 ? null : w.got / w.asked);
        }
        Map<String, Double> byClass = new TreeMap<>();
        classes.forEach((name, w) -> byClass.put(name, w.got / w.asked));
        return new Result(
                lines.size(),
                delivered,
                late,
                handedBack,
                givenUp,
                turnedAway,
                unanswered,
                open,
                share,
                worst,
                0.7 * share + 0.3 * worst,
                lost,
                lostCount,
                ledger.breaches(),
                ledger.breachCount(),
                bySecond,
                byClass);
    }

    /** As a share: full within the aim, then evenly less to the class's late worth at its limit. */
    private static double worth(Line line, long delivered) {
        if (delivered < 0) {
            return 0;
        }
        double ms = (delivered - line.asked) / 1e6;
        Script.MessageClass messageClass = line.messageClass;
        if (ms <= messageClass.aim()) {
            return 1;
        }
        if (ms > messageClass.limit()) {
            return 0;
        }
        return 1
                - (1 - messageClass.lateWorth())
                        * (ms - messageClass.aim())
                        / Math.max(1, messageClass.limit() - messageClass.aim());
    }

    /** The least share of ten seconds in a row; of the whole run where that is shorter. */
    private static double worstStretch(TreeMap<Long, Worth> seconds, double whole) {
        if (seconds.isEmpty() || seconds.lastKey() - seconds.firstKey() + 1 < STRETCH_S) {
            return whole;
        }
        double worst = 1;
        for (long from = seconds.firstKey(); from + STRETCH_S - 1 <= seconds.lastKey(); from++) {
            double asked = 0;
            double got = 0;
            for (Worth w : seconds.subMap(from, from + STRETCH_S).values()) {
                asked += w.asked;
                got += w.got;
            }
            worst = asked > 0 ? Math.min(worst, got / asked) : worst;
        }
        return worst;
    }
}
