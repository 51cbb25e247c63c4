package brambletray.relay.emulator;

import brambletray.relay.emulator.Answer.Reason;
import brambletray.relay.emulator.PartnerSpec.Abandoned;
import brambletray.relay.emulator.PartnerSpec.EndpointSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One endpoint of a partner as a pure state machine: servers, a bounded queue, a limit, connections, warmth,
 * and what a script does to them. Fed with times in ns that never go back; answers come through the
 * {@link Sink}, inside the method that caused them.
 *
 * <p>At one instant, calls that are finished end first, then the script's events happen in the file's order,
 * then new calls arrive.
 */
public final class Endpoint {
    /** Where answers go. */
    public interface Sink {
        /** The answer to a call that {@link Endpoint#arrive} took; at most one for each. */
        void answer(Call call, Answer answer);

        /** Who can be reached has changed: see {@link Endpoint#reach}. */
        void reachChanged();
    }

    /** What a connection meets. */
    public enum Reach {
        /** Connections come up. */
        OPEN,
        /** They are refused, and those that were open have been reset. */
        REFUSED,
        /** Nothing comes back at all. */
        SILENT
    }

    /** Probabilities of what becomes of a call at its end, each as a share of all calls. */
    public record Spoils(double failed, double resetBefore, double resetAfter, double spoilt) {
        public static final Spoils NONE = new Spoils(0, 0, 0, 0);
    }

    private static final Comparator<Call> BY_FINISH =
            Comparator.<Call>comparingLong(call -> call.finish).thenComparingLong(call -> call.number);

    private final PartnerSpec partner;
    private final EndpointSpec spec;
    private final Meter meter;
    private final KeyMemory keys;
    private final Ledger ledger;
    private final SplittableRandom random;
    private final Tally tally = new Tally();
    private Sink sink;

    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final PriorityQueue<Call> served = new PriorityQueue<>(BY_FINISH);
    private long numbers;
    private long clock;
    private int connections;
    private Reach reach = Reach.OPEN;
    private boolean fallen;
    private boolean hung;
    private boolean draining;
    private double slow = 1;
    private Spoils spoils = Spoils.NONE;
    /** Shut until then, and whether refusals tell so; Long.MIN_VALUE when it is not. */
    private long shutUntil = Long.MIN_VALUE;

    private boolean shutTells;
    /** Paused until then; what was begun goes on after it, or is never answered. */
    private long pausedUntil = Long.MIN_VALUE;

    private boolean pauseForgets;
    /** Cold since then; Long.MIN_VALUE when warm. */
    private long coldSince = Long.MIN_VALUE;

    private boolean outage;
    private final Set<String> sawOutage = new HashSet<>();
    private final ArrayDeque<Arrival> recent = new ArrayDeque<>();
    /** Load reports: values taken at instants a refresh apart, the one shown and those still too fresh. */
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    private long sampledAt = Long.MIN_VALUE;
    private Answer.Load shown;

    private record Arrival(long at, String caller) {}

    private record Sample(long at, Answer.Load load) {}

    Endpoint(PartnerSpec partner, EndpointSpec spec, Meter meter, KeyMemory keys, Ledger ledger, long seed) {
        this.partner = partner;
        this.spec = spec;
        this.meter = meter;
        this.keys = keys;
        this.ledger = ledger;
        this.random = new SplittableRandom(seed);
    }

    /** Sets where answers go; before the first call. */
    public void sink(Sink to) {
        sink = to;
    }

    public String name() {
        return spec.name();
    }

    public String zone() {
        return spec.zone();
    }

    /** By which it is called: http or mqtt. */
    public String protocol() {
        return spec.protocol();
    }

    public PartnerSpec partner() {
        return partner;
    }

    public Tally tally() {
        return tally;
    }

    public Reach reach() {
        return reach;
    }

    public boolean fallen() {
        return fallen;
    }

    /** Calls queued and in service. */
    public int inHand() {
        return queue.size() + served.size();
    }

    public int queued() {
        return queue.size();
    }

    public int connections() {
        return connections;
    }

    /** The share of its capacity that it has now. */
    public double warmth(long now) {
        if (coldSince == Long.MIN_VALUE) {
            return 1;
        }
        double done = (now - coldSince) / (double) partner.cold().warm();
        return done >= 1 ? 1 : partner.cold().from() + (1 - partner.cold().from()) * done;
    }

    /** A word for its state, for people. */
    public String state(long now) {
        return fallen
                ? "fallen"
                : reach == Reach.SILENT
                        ? "vanished"
                        : reach == Reach.REFUSED
                                ? "down"
                                : shutUntil > now
                                        ? "shut"
                                        : hung
                                                ? "hung"
                                                : pausedUntil > now
                                                        ? "paused"
                                                        : warmth(now) < 1
                                                                ? "cold " + Math.round(warmth(now) * 100) + "%"
                                                                : draining
                                                                        ? "draining"
                                                                        : slow != 1 ? "slow x" + slow : "open";
    }

    // ---- Connections ----------------------------------------------------------------------------
    /** A connection has come; false where there is no room for it: it is reset at once. */
    public boolean connect(long now) {
        if (connections >= partner.connections().cap()) {
            tally.connectionsRefused++;
            return false;
        }
        connections++;
        tally.connections++;
        tally.mostConnections = Math.max(tally.mostConnections, connections);
        return true;
    }

    /** A connection that {@link #connect} let in has ended. */
    public void disconnect() {
        connections--;
    }

    // ---- Calls ----------------------------------------------------------------------------------
    /** When {@link #advance} has something to do; Long.MAX_VALUE for never. */
    public long nextAt() {
        return served.isEmpty() || pausedUntil == Long.MAX_VALUE ? Long.MAX_VALUE : served.peek().finish;
    }

    /** The instant at which it is; inside {@link Sink#answer}, that of the answer. */
    public long clock() {
        return clock;
    }

    /** Ends what is finished by now, each at its own instant, and begins what waited for it. */
    public void advance(long now) {
        while (!served.isEmpty() && served.peek().finish <= now) {
            Call call = served.poll();
            long at = call.finish;
            sampleBefore(at);
            integrate(at);
            finish(at, call);
            fill(at);
        }
        sampleBefore(now);
        integrate(now);
    }

    /** One call has come as a whole. */
    public void arrive(long now, Call call) {
        advance(now);
        call.arrived = now;
        call.number = ++numbers;
        tally.arrived++;
        call.each().forEach(message -> ledger.arrived(now, message, name(), waitPlace()));
        if (reach != Reach.OPEN || hung) {
            sawOutage.add(call.caller);
            tally.unanswered++;
            return;
        }
        if (weigh(now, call)) {
            return;
        }
        if (shutUntil > now) {
            refuse(now, call, Reason.SHUT, shutTells ? shutUntil - now : 0);
        } else if (draining) {
            refuse(now, call, Reason.DRAINING, 0);
        } else if (queue.size() >= partner.queue() + free()) {
            refuse(now, call, Reason.QUEUE_FULL, 0);
        } else if (!meter.take(now)) {
            refuse(now, call, Reason.LIMIT, meter.opensAt(now) - now);
        } else {
            queue.addLast(call);
            fill(now);
            tally.mostQueued = Math.max(tally.mostQueued, queue.size());
        }
    }

    private int free() {
        return partner.servers() - served.size();
    }

    private String waitPlace() {
        return partner.apart() ? name() : partner.name();
    }

    /** Counts a call against what a cold endpoint bears; true if that was what made it fall over. */
    private boolean weigh(long now, Call call) {
        PartnerSpec.Cold cold = partner.cold();
        if (coldSince == Long.MIN_VALUE) {
            return false;
        }
        if (now >= coldSince + cold.warm()) {
            coldSince = Long.MIN_VALUE;
            recent.clear();
            return false;
        }
        recent.addLast(new Arrival(now, call.caller));
        while (recent.peekFirst().at() <= now - cold.fall()) {
            recent.pollFirst();
        }
        double bears = cold.multiple() * partner.capacity() * warmth(now) * cold.fall() / 1e9 + cold.slack();
        tally.heaviest = Math.max(tally.heaviest, recent.size() / bears);
        if (recent.size() <= bears) {
            return false;
        }
        Map<String, Integer> senders = new HashMap<>();
        recent.forEach(arrival -> senders.merge(arrival.caller(), 1, Integer::sum));
        ledger.fell(now, name(), senders, sawOutage);
        fallen = true;
        tally.fellAt = now;
        down(now, Reach.REFUSED);
        return true;
    }

    private void refuse(long now, Call call, Reason reason, long opensIn) {
        meter.refused(now);
        if (outage) {
            sawOutage.add(call.caller);
        }
        long wait = 0;
        PartnerSpec.Waits waits = partner.waits();
        if (opensIn > 0 && random.nextDouble() < waits.share()) {
            long drawn = waits.least() + (long) ((waits.most() - waits.least()) * random.nextDouble());
            wait = Math.max(opensIn, reason == Reason.SHUT ? 0 : drawn);
            ledger.told(now, call, waitPlace(), wait);
        }
        tally.refused.merge(reason, 1L, Long::sum);
        sink.answer(call, new Answer.Refused(load(now), reason, wait));
    }

    private void fill(long now) {
        while (free() > 0 && !queue.isEmpty() && pausedUntil <= now) {
            Call call = queue.pollFirst();
            call.began = now;
            double time = partner.service().draw(random) * slow / warmth(now);
            call.finish = now
                    + Math.max(1, (long) time)
                    + (call.first ? partner.connections().handshake() : 0);
            tally.waited(now - call.arrived);
            served.add(call);
        }
    }

    private void finish(long now, Call call) {
        double lot = spoils == Spoils.NONE ? 1 : random.nextDouble();
        double failed = spoils.failed();
        double before = failed + spoils.resetBefore();
        double after = before + spoils.resetAfter();
        double spoilt = after + spoils.spoilt();
        if (lot < failed) {
            tally.failed++;
            if (outage) {
                sawOutage.add(call.caller);
            }
            sink.answer(call, new Answer.Failed(load(now)));
            return;
        }
        if (lot < before) {
            tally.reset++;
            sink.answer(call, new Answer.Reset(false));
            return;
        }
        boolean again = false;
        for (Call message : call.each()) {
            again = message.key != null && keys.seen(now, message.key);
            if (!again) {
                ledger.effect(now, message, name());
            }
        }
        if (lot < after) {
            tally.reset++;
            sink.answer(call, new Answer.Reset(true));
        } else if (lot < spoilt) {
            tally.spoilt++;
            sink.answer(call, new Answer.Spoilt());
        } else {
            tally.served(now - call.arrived);
            if (!call.abandoned) {
                call.each().forEach(message -> ledger.delivered(now, message.message));
            }
            sink.answer(call, new Answer.Delivered(load(now), again));
        }
    }

    /** The caller has gone: its connection has ended with the call unanswered. */
    public void abandon(long now, Call call) {
        advance(now);
        call.abandoned = true;
        tally.abandoned++;
        if (partner.abandoned() != Abandoned.RUNS && queue.remove(call)) {
            return;
        }
        if (partner.abandoned() == Abandoned.DROPPED && served.remove(call)) {
            fill(now);
        }
    }

    /** The caller is away and may come back for the answer: the call goes on, unheard for now. */
    public void detach(Call call) {
        call.abandoned = true;
    }

    /** The caller is back. */
    public void attach(Call call) {
        call.abandoned = false;
    }

    /** The answer of a call that has run is told once more. */
    public void heard(long now, Call call) {
        ledger.delivered(now, call.message);
    }

    /** The caller's connection has ended after this call's answer was written; it may not have been read. */
    public void ended(long now, Call call) {
        ledger.unheard(now, call, waitPlace());
    }

    // ---- What a script does ---------------------------------------------------------------------
    /** Refuses everything until then, tells so or not, and is cold after it if the spec says so. */
    void shut(long now, long until, boolean tells) {
        advance(now);
        shutUntil = until;
        shutTells = tells;
        beginOutage();
    }

    /** An outage is over; it is cold from now on. */
    void open(long now) {
        advance(now);
        boolean was = outage;
        shutUntil = Long.MIN_VALUE;
        hung = false;
        if (fallen) {
            return;
        }
        setReach(Reach.OPEN);
        outage = false;
        if (was) {
            coldSince = now;
            recent.clear();
        }
        fill(now);
    }

    private void beginOutage() {
        if (!outage) {
            outage = true;
            sawOutage.clear();
        }
    }

    /** Its process is gone, or its machine: what was in hand is lost, and never ran. */
    void down(long now, Reach to) {
        advance(now);
        beginOutage();
        List<Call> lost = new ArrayList<>(queue);
        lost.addAll(served);
        integrate(now);
        queue.clear();
        served.clear();
        for (Call call : lost) {
            sawOutage.add(call.caller);
            tally.unanswered++;
            if (to == Reach.REFUSED) {
                sink.answer(call, new Answer.Reset(false));
            }
        }
        setReach(to);
    }

    /** Takes calls and does nothing about them; those in hand are lost. */
    void hang(long now) {
        advance(now);
        beginOutage();
        for (Call call : queue) {
            sawOutage.add(call.caller);
        }
        for (Call call : served) {
            sawOutage.add(call.caller);
        }
        tally.unanswered += inHand();
        queue.clear();
        served.clear();
        hung = true;
    }

    /** Stands still until then; after that it goes on, or forgets what was in hand. */
    void pause(long now, long until, boolean forgets) {
        advance(now);
        long more = until - Math.max(now, pausedUntil);
        if (more <= 0) {
            return;
        }
        pausedUntil = until;
        pauseForgets = forgets;
        List<Call> standing = new ArrayList<>(served);
        served.clear();
        for (Call call : standing) {
            call.finish += more;
            served.add(call);
        }
    }

    /** The end of a pause. */
    void resume(long now) {
        advance(now);
        if (pausedUntil > now) {
            return;
        }
        if (pauseForgets) {
            tally.unanswered += inHand();
            queue.clear();
            served.clear();
            pauseForgets = false;
        }
        fill(now);
    }

    /** Takes this many times as long from now on, also for what is left of the calls in service. */
    void slow(long now, double factor) {
        advance(now);
        List<Call> running = new ArrayList<>(served);
        served.clear();
        for (Call call : running) {
            call.finish = now + Math.max(1, (long) ((call.finish - now) * factor / slow));
            served.add(call);
        }
        slow = factor;
    }

    /** Calls that end from now on are spoilt in these shares; an outage where most fail. */
    void spoil(long now, Spoils shares) {
        advance(now);
        spoils = shares;
        if (shares.failed() > 0.5) {
            beginOutage();
        }
    }

    /** Turns new calls away; the list says so by its own way. */
    void drain(long now, boolean on) {
        advance(now);
        draining = on;
    }

    private void setReach(Reach to) {
        if (reach != to) {
            reach = to;
            sink.reachChanged();
        }
    }

    // ---- Load reports ---------------------------------------------------------------------------
    /** Takes the values of the instants that have passed, before anything at {@code now} changes them. */
    private void sampleBefore(long now) {
        PartnerSpec.Reports reports = partner.reports();
        if (reports == null || meter.limit() instanceof Limit.None) {
            return;
        }
        long latest = now - Math.floorMod(now, reports.refresh());
        // Only instants that can still be shown matter, after a long quiet time.
        long from = Math.max(sampledAt + reports.refresh(), latest - reports.delay() - reports.refresh());
        if (sampledAt == Long.MIN_VALUE) {
            from = latest;
        }
        from += Math.floorMod(-from, reports.refresh());
        for (long at = from; at <= latest; at += reports.refresh()) {
            samples.addLast(new Sample(
                    at,
                    new Answer.Load(meter.left(Math.max(at, 0)), meter.limit().perSecond())));
            sampledAt = at;
        }
    }

    private Answer.Load load(long now) {
        if (partner.reports() == null) {
            return null;
        }
        while (!samples.isEmpty()
                && samples.peekFirst().at() <= now - partner.reports().delay()) {
            shown = samples.pollFirst().load();
        }
        return shown;
    }

    private void integrate(long now) {
        clock = now;
        tally.integrate(now, queue.size(), served.size());
    }
}
