package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.control.Control;
import brambletray.relay.control.Relay;
import brambletray.relay.journal.HostKnowledgeJournal;
import brambletray.relay.journal.Journal;
import brambletray.relay.message.Message;
import brambletray.relay.metrics.MessageMetrics;
import brambletray.relay.metrics.MessageMetrics.End;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives the module: what happens on the sockets becomes events, what the module asks for is carried out in
 * order. It decides nothing. All of it runs on one event loop.
 */
public final class EventDispatcher implements MessageReceiver {
    private static final Logger LOG = LoggerFactory.getLogger(EventDispatcher.class);
    /** us; told to a client that is turned away before the module has seen its message. */
    private static final long COME_BACK = 1_000_000;
    /** ms that a message must have left when it leaves the door, to be delivered or ended by a notice. */
    private static final long DOOR_LEAST = 300;

    private static final long AFTER_FAULT = 100_000;
    /** s; between looks at hosts: what can be forgotten, and what is worth a note. */
    private static final long TIDY = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final RateLimitedLog complaints;
    private final Relay.Settings settings;
    private final Control control;
    /** us; from the clock to the module's. */
    private final long shift;
    /** Who gets the replies of calls that were out when this loop was handed on; null before. */
    private Successor successor;

    private final HostDirectory hosts;
    private final HostTransport pool;
    private final Journal journal;
    private Platform platform;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, PendingMessage> held = new HashMap<>();
    private List<Relay.Event> events = new ArrayList<>();
    /** Messages taken on that the door has not let in. */
    private final Set<String> waiting = new HashSet<>();

    private final Map<String, SubmissionResult> unanswered = new LinkedHashMap<>();
    private boolean turnDue;
    private boolean stopped;
    private int open;
    private CompletionListener ends = CompletionListener.NOBODY;
    private AdmissionGate door = AdmissionGate.OPEN;
    private boolean commitDue;
    /** The last batch failed: only what clients wait for is committed before {@link #commitAgain}. */
    private boolean rests;

    private final CallSender departures;
    private final MessageMetrics figures;
    private final JournalCompaction compaction;
    private final HostKnowledgeRecorder evidence;

    public EventDispatcher(
            Machine machine,
            long seed,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport pool,
            Journal journal,
            MessageMetrics figures) {
        this(machine, settings, hosts, pool, journal, figures, new Control(seed, settings), 0);
    }

    /** One whose module goes on where another process's ended: {@link #resume}, not {@link #start}. */
    public EventDispatcher(
            Machine machine,
            long seed,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport pool,
            Journal journal,
            MessageMetrics figures,
            HandoverState from) {
        this(
                machine,
                settings,
                hosts,
                pool,
                journal,
                figures,
                new Control(seed, settings, from.memory()),
                from.timeAt(machine.clock().unixMillis()) - machine.clock().micros());
    }

    private EventDispatcher(
            Machine machine,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport pool,
            Journal journal,
            MessageMetrics figures,
            Control control,
            long shift) {
        this.loop = machine.loop();
        this.clock = machine.clock();
        this.complaints = new RateLimitedLog(LOG, clock);
        this.settings = settings;
        this.control = control;
        this.shift = shift;
        this.hosts = hosts;
        this.pool = pool;
        this.journal = journal;
        this.figures = figures;
        this.departures =
                new CallSender(clock, settings, hosts, pool, journal, held::get, id -> door.sent(id), this::ended);
        this.compaction = new JournalCompaction(loop, clock, journal, () -> stopped);
        this.evidence = new HostKnowledgeRecorder(
                clock,
                control,
                hosts,
                new HostKnowledgeJournal(journal.store()),
                settings.rules().cold());
        loop.scheduleWithFixedDelay(this::tidy, TIDY, TIDY, TimeUnit.SECONDS);
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
    }

    /**
     * Tells the module the list as last had (null: none) and what the journal holds, then begins to watch the
     * platform, which is to call {@link #listed} and {@link #noticed}.
     */
    public void start(Platform platform, Relay.Listed known) {
        this.platform = platform;
        if (DispatchTrace.ON) {
            DispatchTrace.settings(clock.unixMillis(), settings);
        }
        if (known != null) {
            tell(evidence.careful(known));
            evidence.believed().forEach(this::tell);
        }
        for (Journal.Entry entry : journal.owed()) {
            if (entry.end != null) {
                platform.notice(entry);
            } else if (!classes.containsKey(entry.message.messageClass())) {
                LOG.warn("message {} given up: its class {} is gone", entry.message.id(), entry.message.messageClass());
                end(entry, new Journal.End(false, 0));
            } else {
                recover(entry);
            }
        }
        turn();
        platform.watch();
    }

    /** The deadline passes into the module's clock; earlier attempts keep their distance from now. */
    private void recover(Journal.Entry entry) {
        PendingMessage h = new PendingMessage(entry.message, entry);
        held.put(h.message.id(), h);
        open++;
        figures.taken(classes.get(h.message.messageClass()));
        List<Relay.Earlier> earlier = new ArrayList<>();
        for (Journal.Attempt a : entry.attempts) {
            h.calls.add(null);
            earlier.add(new Relay.Earlier(moduleTime(a.sent), a.zone, a.mayHaveRun));
        }
        door.recovered(h.message);
        if (!earlier.isEmpty()) {
            door.sent(h.message.id());
        }
        tell(accepted(h.message, earlier));
    }

    private Relay.Accepted accepted(Message m, List<Relay.Earlier> earlier) {
        return new Relay.Accepted(
                m.id(),
                classes.get(m.messageClass()),
                m.tenant(),
                m.routeKey(),
                moduleTime(m.deadline()),
                m.destination(),
                earlier);
    }

    @Override
    public boolean knows(String messageClass, long destination) {
        return classes.containsKey(messageClass) && hosts.knows(destination);
    }

    @Override
    public Relay.MessageClass messageClass(String name) {
        return classes.containsKey(name) ? settings.classes().get(classes.get(name)) : null;
    }

    @Override
    public int tenant(String name) {
        for (int i = 0; i < settings.tenants().size(); i++) {
            if (settings.tenants().get(i).name().equals(name)) {
                return i;
            }
        }
        return settings.tenants().size();
    }

    /** Discovery has moved. */
    public void discoveryAt(InetSocketAddress agent) {
        platform.move(agent);
    }

    /** The process ends: nothing more is decided or written down, calls still out count as may have run. */
    public void stop() {
        stopped = true;
    }

    public boolean idle() {
        return open == 0 && !platform.noticesLeft();
    }

    // ---- Clients --------------------------------------------------------------------------------
    @Override
    public void accept(Message message, SubmissionResult answer) {
        PendingMessage known = held.get(message.id());
        if (known != null && !known.over) {
            // A client sends a request once more when its connection closed as it wrote: it is held already.
            if (known.message.sameAs(message)) {
                answer.held();
            } else {
                answer.conflict();
            }
            return;
        }
        if (known != null || open >= settings.allowed().openMessages()) {
            figures.turnedAway(classes.get(message.messageClass()), End.REFUSED);
            answer.refused(COME_BACK);
            return;
        }
        AdmissionGate.Entry entry = door.ask(message);
        if (entry instanceof AdmissionGate.Turned turned) {
            turned.recall().forEach(id -> tell(new Relay.Recalled(id)));
            figures.turnedAway(classes.get(message.messageClass()), End.REFUSED);
            answer.refused(turned.after());
            return;
        }
        PendingMessage h = new PendingMessage(message, null);
        held.put(message.id(), h);
        open++;
        figures.taken(classes.get(message.messageClass()));
        unanswered.put(message.id(), answer);
        // The turn comes when the loop has read what else is there: one batch, and one sync, for all of it.
        if (entry instanceof AdmissionGate.Later later) {
            waiting.add(message.id());
            tell(new Relay.Due());
            loop.schedule(() -> again(h), later.after(), TimeUnit.MICROSECONDS);
        } else {
            tell(accepted(message, List.of()));
        }
    }

    /** A message that was taken on and waits at the door: in, or on, or back while there is time for that. */
    private void again(PendingMessage h) {
        if (h.over || stopped) {
            return;
        }
        AdmissionGate.Entry entry = door.again(h.message);
        if (!(entry instanceof AdmissionGate.Later later)) {
            waiting.remove(h.message.id());
            tell(accepted(h.message, List.of()));
        } else if (clock.unixMillis() + later.after() / 1_000 + DOOR_LEAST >= h.message.deadline()) {
            end(h.message.id(), new Journal.End(true, later.after()));
        } else {
            loop.schedule(() -> again(h), later.after(), TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void withdraw(String id) {
        // Guards the module's slots: inside the turn that takes a message on, its first send would be left
        // out, and the module would wait for that send's end for good.
        loop.execute(() -> withdrawn(id));
    }

    private void withdrawn(String id) {
        PendingMessage h = held.get(id);
        if (h != null && !h.over) {
            complaints.warn("message " + id + " withdrawn, its client left before the answer");
            over(h, End.WITHDRAWN);
            close(h.entry);
            tell(new Relay.Withdrawn(id));
        }
    }

    // ---- Turns ----------------------------------------------------------------------------------
    private void tell(Relay.Event event) {
        events.add(event);
        if (!turnDue && !stopped) {
            turnDue = true;
            loop.execute(this::turn);
        }
    }

    private long micros() {
        return clock.micros() + shift;
    }

    /** Unix time in ms to the module's clock, which may then be below 0. */
    private long moduleTime(long unix) {
        return micros() + (unix - clock.unixMillis()) * 1_000;
    }

    private void turn() {
        turnDue = false;
        if (events.isEmpty() || stopped) {
            return;
        }
        List<Relay.Event> told = events;
        events = new ArrayList<>();
        try {
            List<Relay.Action> actions = control.turn(micros(), told);
            if (DispatchTrace.ON) {
                DispatchTrace.turn(clock.unixMillis(), micros(), told, actions);
            }
            evidence.decided(told);
            answer(actions);
            for (Relay.Action action : actions) {
                try {
                    carryOut(action, actions);
                } catch (RuntimeException e) {
                    LOG.error("could not carry out {}", action, e);
                }
            }
        } catch (RuntimeException e) {
            LOG.error("turn failed on {}", told, e);
            // Guards against standing still: the module's timer may have been lost with the turn.
            loop.schedule(() -> tell(new Relay.Due()), AFTER_FAULT, TimeUnit.MICROSECONDS);
        } finally {
            // Guards clients against silence if the turn failed: nothing was written down for these.
            for (String id : List.copyOf(unanswered.keySet())) {
                refuse(id, unanswered.get(id));
            }
            departures.clear();
        }
        // Before anything that waits for it: notices are posted by a task of their own.
        if (!rests) {
            commit();
        }
    }

    /**
     * Answers the clients of this turn's new messages. An end that the module decided at once is the answer
     * itself; the others are written down, in one batch with the turn's sends, then answered, and only
     * after that is anything sent.
     */
    private void answer(List<Relay.Action> actions) {
        for (Relay.Action action : unanswered.isEmpty() ? List.<Relay.Action>of() : actions) {
            if (action instanceof Relay.Refuse a && unanswered.containsKey(a.id())) {
                over(held.get(a.id()), End.REFUSED);
                unanswered.remove(a.id()).refused(a.retryAfter());
            } else if (action instanceof Relay.Fail a && unanswered.containsKey(a.id())) {
                over(held.get(a.id()), End.FAILED);
                unanswered.remove(a.id()).failed();
            }
        }
        for (String id : List.copyOf(unanswered.keySet())) {
            PendingMessage h = held.get(id);
            try {
                h.entry = journal.take(h.message, clock.unixMillis());
            } catch (IOException e) {
                LOG.error("store cannot be written, message {} refused", id, e);
            }
            if (h.entry == null) {
                refuse(id, unanswered.get(id));
            } else {
                unanswered.get(id).noted();
            }
        }
        for (Relay.Action action : actions) {
            if (action instanceof Relay.Send a) {
                departures.prepare(a);
            }
        }
        commit();
        for (String id : List.copyOf(unanswered.keySet())) {
            PendingMessage h = held.get(id);
            if (h.entry.held()) {
                h.message = h.entry.message;
                unanswered.remove(id).taken();
            } else if (h.entry.uncertain()) {
                // It may be found after a restart: its client must not be told that another try does no harm.
                SubmissionResult answer = unanswered.remove(id);
                answer.notNoted();
                over(h, End.FAILED);
                tell(new Relay.Withdrawn(id));
                answer.failed();
            } else {
                unanswered.get(id).notNoted();
                refuse(id, unanswered.get(id));
            }
        }
    }

    /**
     * What was noted lasts from now on; messages and sends of a batch that failed know it themselves. False
     * where it failed.
     */
    private boolean commit() {
        commitDue = false;
        if (!journal.dirty() || stopped) {
            return !stopped;
        }
        boolean written = true;
        try {
            journal.commit();
        } catch (IOException e) {
            LOG.error("store cannot be written: messages of this turn are refused, their sends not made", e);
            // Guards the loop's turns against a store that fails at once: what is staged anew waits.
            if (!rests) {
                rests = true;
                loop.schedule(this::commitAgain, AFTER_FAULT, TimeUnit.MICROSECONDS);
            }
            ends.batchFailed();
            written = false;
        }
        evidence.written(written);
        ends.committed();
        compaction.wanted();
        return written;
    }

    private void commitAgain() {
        rests = false;
        commit();
    }

    /** Something was noted outside of a turn. */
    private void commitSoon() {
        if (!commitDue && !turnDue && !rests) {
            commitDue = true;
            loop.execute(this::commit);
        }
    }

    private void refuse(String id, SubmissionResult answer) {
        unanswered.remove(id);
        over(held.get(id), End.REFUSED);
        tell(new Relay.Withdrawn(id));
        answer.refused(COME_BACK);
    }

    private void carryOut(Relay.Action action, List<Relay.Action> turn) {
        if (action instanceof Relay.Send a) {
            departures.send(a, turn);
        } else if (action instanceof Relay.Refuse a) {
            end(a.id(), new Journal.End(true, a.retryAfter()));
        } else if (action instanceof Relay.Fail a) {
            end(a.id(), new Journal.End(false, 0));
        } else if (action instanceof Relay.Cancel a) {
            PendingMessage h = held.get(a.id());
            HostTransport.Call call = h == null ? null : h.calls.get(a.attempt());
            if (call != null) {
                call.cancel();
            }
        } else if (action instanceof Relay.Close a) {
            Host host = hosts.host(a.endpoint());
            if (host != null) {
                pool.closeIdle(host);
            }
        } else if (action instanceof Relay.Wake a) {
            loop.schedule(() -> tell(new Relay.Due()), a.after(), TimeUnit.MICROSECONDS);
        } else if (action instanceof Relay.Log a) {
            LOG.info("{}", a.text());
        }
    }

    // ---- Calls ----------------------------------------------------------------------------------
    private void ended(PendingMessage h, int attempt, Host host, CallReply reply) {
        if (successor != null) {
            h.done(attempt);
            successor.ended(h.message.id(), attempt, host.name, reply);
            return;
        }
        if (stopped) {
            return;
        }
        h.done(attempt);
        if (reply.waitFor() > 0) {
            // Guards the rule on waits: calls there that still wait for their connection do not go out.
            boolean apart = settings.kinds().get(host.kind).apart();
            hosts.hosts().stream()
                    .filter(other -> other == host || !apart && other.destination == host.destination)
                    .forEach(pool::takeBack);
        }
        boolean over = h.over || reply.over();
        if (!h.over) {
            if (reply.over()) {
                over(h, reply.outcome() == Relay.Outcome.OK ? End.SERVED : End.FAILED);
                tellOrigin(
                        h.message,
                        reply.outcome() == Relay.Outcome.OK
                                ? CompletionListener.End.DELIVERED
                                : CompletionListener.End.GIVEN_UP,
                        0);
                close(h.entry);
            } else if (reply.outcome().neverRan()) {
                notRun(h, attempt);
            }
        }
        tell(new Relay.Ended(
                h.message.id(),
                attempt,
                host.number,
                reply.outcome(),
                over,
                reply.waitFor(),
                reply.latency(),
                reply.left(),
                reply.limit(),
                reply.reused()));
        forget(h);
    }

    private void notRun(PendingMessage h, int attempt) {
        try {
            journal.notRun(h.entry, attempt);
        } catch (IOException e) {
            // The attempt then counts as one that may have run, which is safe.
            LOG.error("store cannot be written, outcome of message {} is not kept", h.message.id(), e);
        }
        commitSoon();
    }

    // ---- Ends -----------------------------------------------------------------------------------
    private void end(String id, Journal.End end) {
        PendingMessage h = held.get(id);
        if (h != null && !h.over) {
            over(h, end.handedBack() ? End.REFUSED : End.FAILED);
            end(h.entry, end);
        }
    }

    private void end(Journal.Entry entry, Journal.End end) {
        try {
            journal.ended(entry, end);
        } catch (IOException e) {
            LOG.error("store cannot be written, end of message {} is told all the same", entry.message.id(), e);
        }
        tellOrigin(
                entry.message,
                end.handedBack() ? CompletionListener.End.HANDED_BACK : CompletionListener.End.GIVEN_UP,
                end.retryAfter());
        platform.notice(entry);
    }

    /** In the batch that notes the end: told exactly once, whatever happens in between. */
    private void tellOrigin(Message message, CompletionListener.End end, long retryAfter) {
        if (message.origin() != null || ends.ofAll()) {
            ends.ended(message, end, retryAfter);
            commitSoon();
        }
    }

    /** Sets who is asked whether a message may be handed in; before {@link #start}. */
    public void door(AdmissionGate asked) {
        door = asked;
    }

    /** Sets who is told the ends of messages that have an origin; before {@link #start}. */
    public void ends(CompletionListener told) {
        ends = told;
    }

    /** Something besides the journal was staged in the store: it goes with this pass's batch. */
    public void staged() {
        commitSoon();
    }

    private void over(PendingMessage h, End end) {
        h.over = true;
        waiting.remove(h.message.id());
        open--;
        figures.ended(classes.get(h.message.messageClass()), end);
        door.ended(h.message.id());
        // Guards slots: a send decided in the turn that refuses its message must find it, and end.
        loop.execute(() -> forget(h));
    }

    /** The module may still name a message until the last of its calls has ended. */
    private void forget(PendingMessage h) {
        if (h.over && h.out() == 0) {
            held.remove(h.message.id(), h);
        }
    }

    /**
     * What this loop, the module and the journal do not agree on: each has to hold the same messages between
     * turns. Null where they do, or while something told has not been decided.
     */
    public String disagreement() {
        if (stopped || turnDue || !events.isEmpty() || !unanswered.isEmpty()) {
            return null;
        }
        Set<String> here = new TreeSet<>();
        held.values().stream().filter(h -> !h.over).forEach(h -> here.add(h.message.id()));
        Set<String> owed = new TreeSet<>();
        journal.owed().stream().filter(e -> e.end == null).forEach(e -> owed.add(e.message.id()));
        Set<String> decided = new TreeSet<>(control.memory().openMessages().keySet());
        // A message that waits at the door is held and written down, and the module has not heard of it.
        decided.addAll(waiting);
        if (here.equals(owed) && here.equals(decided) && here.size() == open) {
            return null;
        }
        return "loop " + open + " " + brief(here) + ", module " + brief(decided) + ", journal " + brief(owed);
    }

    private static String brief(Set<String> ids) {
        return ids.size() + " " + ids.stream().limit(3).toList();
    }

    /** True while a message of this id was taken on and has not ended. */
    public boolean holds(String id) {
        return held.containsKey(id);
    }

    /** A notice has been acknowledged: nothing more is owed. */
    public void noticed(Journal.Entry entry) {
        if (DispatchTrace.ON) {
            DispatchTrace.noticed(clock.unixMillis(), entry.message.id());
        }
        close(entry);
    }

    private void close(Journal.Entry entry) {
        try {
            journal.closed(entry);
        } catch (IOException e) {
            LOG.error(
                    "store cannot be written, message {} will be taken up again after a restart",
                    entry.message.id(),
                    e);
        }
        commitSoon();
    }

    // ---- Hosts out by hand ----------------------------------------------------------------------
    /** Nothing new goes to this host from now on; or it may be used again, with care. */
    public void exclude(Host host, boolean out) {
        host.out = out;
        tell(new Relay.Excluded(host.number, out));
        if (out) {
            pool.takeBack(host);
            pool.closeIdle(host);
        }
    }

    /** Writes what was staged, between turns. False where it could not be written: none of it lasts. */
    public boolean commitNow() {
        return commit();
    }

    /** Listed hosts that get no ordinary traffic now. */
    public int avoided() {
        return control.avoided();
    }

    // ---- Hand-over ------------------------------------------------------------------------------
    /**
     * Ends this loop between turns, for another process to go on with what it held: all that has been told is
     * decided and written, then nothing more. The replies of calls that are out go to the successor.
     */
    public HandoverState handOn(Successor to) {
        turn();
        commit();
        stopped = true;
        successor = to;
        platform.letGo();
        List<HandoverState.Out> outs = new ArrayList<>();
        for (PendingMessage h : held.values()) {
            if (!h.over) {
                figures.ended(classes.get(h.message.messageClass()), End.HANDED_ON);
            }
            for (int i = 0; i < h.calls.size(); i++) {
                if (h.isOut(i)) {
                    outs.add(new HandoverState.Out(h.message.id(), i, h.host(i), h.over));
                }
            }
        }
        Map<String, Long> numbers = new HashMap<>();
        hosts.hosts().forEach(host -> numbers.put(host.name, host.number));
        return new HandoverState(control.memory(), micros(), clock.unixMillis(), numbers, outs);
    }

    /** Takes back the calls to a host, or to all (null), that were handed on and of which no byte is out. */
    public void takeBackOut(Host host) {
        List.copyOf(hosts.hosts()).stream()
                .filter(h -> host == null || h == host)
                .forEach(pool::takeBack);
    }

    /** Cancels a call that was out when this loop was handed on; its reply comes as any other. */
    public void cancelOut(String id, int attempt) {
        PendingMessage h = held.get(id);
        if (successor != null && h != null && attempt < h.calls.size() && h.calls.get(attempt) != null) {
            h.calls.get(attempt).cancel();
        }
    }

    /** Cancels all that was out when this loop was handed on: nobody waits for its replies any more. */
    public void cancelAllOut() {
        for (PendingMessage h : List.copyOf(held.values())) {
            for (int i = 0; i < h.calls.size(); i++) {
                cancelOut(h.message.id(), i);
            }
        }
    }

    /** Calls that were out when this loop was handed on, and still are. */
    public int stillOut() {
        return held.values().stream().mapToInt(PendingMessage::out).sum();
    }

    /** In the place of {@link #start}: goes on with what was handed on; {@code whole}: the list as it is. */
    public void resume(Platform on, Relay.Listed whole, HandoverState from, RemoteCalls afar) {
        platform = on;
        evidence.handedOn();
        for (Journal.Entry entry : journal.owed()) {
            if (entry.end != null) {
                platform.notice(entry);
                continue;
            }
            PendingMessage h = new PendingMessage(entry.message, entry);
            entry.attempts.forEach(a -> h.calls.add(null));
            held.put(h.message.id(), h);
            open++;
            figures.taken(classes.get(h.message.messageClass()));
            door.recovered(h.message);
        }
        for (HandoverState.Out out : from.outs()) {
            PendingMessage h = held.computeIfAbsent(out.id(), id -> PendingMessage.over(id));
            while (h.calls.size() <= out.attempt()) {
                h.calls.add(null);
            }
            h.begun(out.attempt(), out.host());
            h.calls.set(
                    out.attempt(),
                    afar.out(
                            out.id(),
                            out.attempt(),
                            hosts.reserved(out.host()),
                            (host, reply) -> ended(h, out.attempt(), host, reply)));
        }
        tell(whole);
        turn();
    }

    // ---- List -----------------------------------------------------------------------------------
    /** The list or its changes are here, and {@link Hosts} holds them. */
    public void listed(Relay.Listed list) {
        tell(list);
        evidence.listed(list).forEach(this::tell);
        commitSoon();
        for (Host host : hosts.hosts()) {
            if (!host.ready || host.out) {
                pool.takeBack(host);
                pool.closeIdle(host);
            }
        }
        forgetGone();
    }

    private void tidy() {
        forgetGone();
        if (!stopped && evidence.look()) {
            commitSoon();
        }
    }

    /** Hosts come and go all day: what is gone and has nothing out is not kept. */
    private void forgetGone() {
        for (Host host : List.copyOf(hosts.hosts())) {
            if (host.gone && !host.out && pool.forget(host)) {
                hosts.forget(host);
                evidence.forgotten(host);
            }
        }
    }
}
