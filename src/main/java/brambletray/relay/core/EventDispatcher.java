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
    /** us; retry-after time of a client that is rejected before the module has seen its message. */
    private static final long RETRY_AFTER_US = 1_000_000;
    /** ms that a message must have left when it leaves the admission gate, to be delivered or ended by a notice. */
    private static final long MIN_REMAINING_LIFETIME_MS = 300;

    private static final long FAULT_BACKOFF_US = 100_000;
    /** s; between looks at hosts: what can be forgotten, and what is worth recording. */
    private static final long MAINTENANCE_INTERVAL_S = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final RateLimitedLog rateLimitedLog;
    private final Relay.Settings settings;
    private final Control control;
    /** us; from the clock to the module's. */
    private final long clockOffsetUs;
    /** Who gets the replies of calls that were out when this loop was handed on; null before. */
    private Successor successor;

    private final HostDirectory hosts;
    private final HostTransport transport;
    private final Journal journal;
    private Platform platform;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, PendingMessage> pendingMessages = new HashMap<>();
    private List<Relay.Event> events = new ArrayList<>();
    /** Messages taken on that the admission gate has not let in. */
    private final Set<String> waitingAtGate = new HashSet<>();

    private final Map<String, SubmissionResult> unansweredSubmissions = new LinkedHashMap<>();
    private boolean turnDue;
    private boolean stopped;
    private int openMessages;
    private CompletionListener completionListener = CompletionListener.NONE;
    private AdmissionGate admissionGate = AdmissionGate.ALWAYS_OPEN;
    private boolean commitDue;
    /** The last batch failed: only what clients wait for is committed before {@link #retryCommit}. */
    private boolean commitRetryPending;

    private final CallSender callSender;
    private final MessageMetrics metrics;
    private final JournalCompaction compaction;
    private final HostKnowledgeRecorder hostKnowledge;

    public EventDispatcher(
            Machine machine,
            long seed,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            MessageMetrics metrics) {
        this(machine, settings, hosts, transport, journal, metrics, new Control(seed, settings), 0);
    }

    /** One whose module goes on where another process's ended: {@link #resume}, not {@link #start}. */
    public EventDispatcher(
            Machine machine,
            long seed,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            MessageMetrics metrics,
            HandoverState from) {
        this(
                machine,
                settings,
                hosts,
                transport,
                journal,
                metrics,
                new Control(seed, settings, from.memory()),
                from.controlTimeAt(machine.clock().unixMillis()) - machine.clock().micros());
    }

    private EventDispatcher(
            Machine machine,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            MessageMetrics metrics,
            Control control,
            long shift) {
        this.loop = machine.loop();
        this.clock = machine.clock();
        this.rateLimitedLog = new RateLimitedLog(LOG, clock);
        this.settings = settings;
        this.control = control;
        this.clockOffsetUs = shift;
        this.hosts = hosts;
        this.transport = transport;
        this.journal = journal;
        this.metrics = metrics;
        this.callSender = new CallSender(
                clock,
                settings,
                hosts,
                transport,
                journal,
                pendingMessages::get,
                id -> admissionGate.onSent(id),
                this::onCallEnded);
        this.compaction = new JournalCompaction(loop, clock, journal, () -> stopped);
        this.hostKnowledge = new HostKnowledgeRecorder(
                clock,
                control,
                hosts,
                new HostKnowledgeJournal(journal.store()),
                settings.rules().cold());
        loop.scheduleWithFixedDelay(this::runMaintenance, MAINTENANCE_INTERVAL_S, MAINTENANCE_INTERVAL_S, TimeUnit.SECONDS);
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
    }

    /**
     * Reports to the module the list as last had (null: none) and what the journal holds, then begins to watch the
     * platform, which is to call {@link #onListed} and {@link #onNoticeAcknowledged}.
     */
    public void start(Platform platform, Relay.EndpointsListed known) {
        this.platform = platform;
        if (DispatchTrace.ON) {
            DispatchTrace.settings(clock.unixMillis(), settings);
        }
        if (known != null) {
            addEvent(hostKnowledge.withLeavingHostsDraining(known));
            hostKnowledge.restoredEvents().forEach(this::addEvent);
        }
        for (Journal.Entry entry : journal.owed()) {
            if (entry.end != null) {
                platform.postNotice(entry);
            } else if (!classIndexes.containsKey(entry.message.messageClass())) {
                LOG.warn("message {} given up: its class {} is gone", entry.message.id(), entry.message.messageClass());
                endMessage(entry, new Journal.End(false, 0));
            } else {
                recover(entry);
            }
        }
        turn();
        platform.watch();
    }

    /** The deadline passes into the module's clock; earlier attempts keep their distance from now. */
    private void recover(Journal.Entry entry) {
        PendingMessage pending = new PendingMessage(entry.message, entry);
        pendingMessages.put(pending.message.id(), pending);
        openMessages++;
        metrics.taken(classIndexes.get(pending.message.messageClass()));
        List<Relay.PriorAttempt> earlier = new ArrayList<>();
        for (Journal.Attempt attempt : entry.attempts) {
            pending.calls.add(null);
            earlier.add(new Relay.PriorAttempt(toControlTime(attempt.sent), attempt.zone, attempt.mayHaveRun));
        }
        admissionGate.onRecovered(pending.message);
        if (!earlier.isEmpty()) {
            admissionGate.onSent(pending.message.id());
        }
        addEvent(acceptedEvent(pending.message, earlier));
    }

    private Relay.Accepted acceptedEvent(Message message, List<Relay.PriorAttempt> earlier) {
        return new Relay.Accepted(
                message.id(),
                classIndexes.get(message.messageClass()),
                message.tenant(),
                message.routeKey(),
                toControlTime(message.deadline()),
                message.destination(),
                earlier);
    }

    @Override
    public boolean isRoutable(String messageClass, long destination) {
        return classIndexes.containsKey(messageClass) && hosts.hasDestination(destination);
    }

    @Override
    public Relay.MessageClass messageClass(String name) {
        return classIndexes.containsKey(name) ? settings.classes().get(classIndexes.get(name)) : null;
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
    public void onAgentAddressChanged(InetSocketAddress agent) {
        platform.onAgentAddressChanged(agent);
    }

    /** The process ends: nothing more is decided or written down, calls still out count as may have run. */
    public void stop() {
        stopped = true;
    }

    public boolean isIdle() {
        return openMessages == 0 && !platform.hasUnacknowledgedNotices();
    }

    // ---- Clients --------------------------------------------------------------------------------
    @Override
    public void accept(Message message, SubmissionResult answer) {
        PendingMessage known = pendingMessages.get(message.id());
        if (known != null && !known.isCompleted) {
            // A client sends a request once more when its connection closed as it wrote: it is held already.
            if (known.message.sameAs(message)) {
                answer.duplicate();
            } else {
                answer.conflict();
            }
            return;
        }
        if (known != null || openMessages >= settings.allowed().openMessages()) {
            metrics.turnedAway(classIndexes.get(message.messageClass()), End.REFUSED);
            answer.refused(RETRY_AFTER_US);
            return;
        }
        AdmissionGate.Decision entry = admissionGate.admit(message);
        if (entry instanceof AdmissionGate.Rejected turned) {
            turned.recalledIds().forEach(id -> addEvent(new Relay.Recalled(id)));
            metrics.turnedAway(classIndexes.get(message.messageClass()), End.REFUSED);
            answer.refused(turned.retryAfter());
            return;
        }
        PendingMessage pending = new PendingMessage(message, null);
        pendingMessages.put(message.id(), pending);
        openMessages++;
        metrics.taken(classIndexes.get(message.messageClass()));
        unansweredSubmissions.put(message.id(), answer);
        // The turn comes when the event loop has read what else is there: one batch, and one sync, for all of it.
        if (entry instanceof AdmissionGate.Deferred later) {
            waitingAtGate.add(message.id());
            addEvent(new Relay.TimerFired());
            loop.schedule(() -> retryAdmission(pending), later.retryAfter(), TimeUnit.MICROSECONDS);
        } else {
            addEvent(acceptedEvent(message, List.of()));
        }
    }

    /** A message that was taken on and waits at the admission gate: in, or on, or back while there is time for that. */
    private void retryAdmission(PendingMessage pending) {
        if (pending.isCompleted || stopped) {
            return;
        }
        AdmissionGate.Decision entry = admissionGate.retry(pending.message);
        if (!(entry instanceof AdmissionGate.Deferred later)) {
            waitingAtGate.remove(pending.message.id());
            addEvent(acceptedEvent(pending.message, List.of()));
        } else if (clock.unixMillis() + later.retryAfter() / 1_000 + MIN_REMAINING_LIFETIME_MS
                >= pending.message.deadline()) {
            endMessage(pending.message.id(), new Journal.End(true, later.retryAfter()));
        } else {
            loop.schedule(() -> retryAdmission(pending), later.retryAfter(), TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void withdraw(String id) {
        // Guards the module's slots: inside the turn that takes a message on, its first send would be left
        // out, and the module would wait for that send's end for good.
        loop.execute(() -> onWithdrawn(id));
    }

    private void onWithdrawn(String id) {
        PendingMessage pending = pendingMessages.get(id);
        if (pending != null && !pending.isCompleted) {
            rateLimitedLog.warn("message " + id + " withdrawn, its client left before the answer");
            complete(pending, End.WITHDRAWN);
            closeEntry(pending.entry);
            addEvent(new Relay.Withdrawn(id));
        }
    }

    // ---- Turns ----------------------------------------------------------------------------------
    private void addEvent(Relay.Event event) {
        events.add(event);
        if (!turnDue && !stopped) {
            turnDue = true;
            loop.execute(this::turn);
        }
    }

    private long controlTimeUs() {
        return clock.micros() + clockOffsetUs;
    }

    /** Unix time in ms to the module's clock, which may then be below 0. */
    private long toControlTime(long unix) {
        return controlTimeUs() + (unix - clock.unixMillis()) * 1_000;
    }

    private void turn() {
        turnDue = false;
        if (events.isEmpty() || stopped) {
            return;
        }
        List<Relay.Event> taken = events;
        events = new ArrayList<>();
        try {
            List<Relay.Action> actions = control.turn(controlTimeUs(), taken);
            if (DispatchTrace.ON) {
                DispatchTrace.turn(clock.unixMillis(), controlTimeUs(), taken, actions);
            }
            hostKnowledge.stageRetryAfterTimes(taken);
            answerClients(actions);
            for (Relay.Action action : actions) {
                try {
                    execute(action, actions);
                } catch (RuntimeException e) {
                    LOG.error("could not carry out {}", action, e);
                }
            }
        } catch (RuntimeException e) {
            LOG.error("turn failed on {}", taken, e);
            // Guards against standing still: the module's timer may have been lost with the turn.
            loop.schedule(() -> addEvent(new Relay.TimerFired()), FAULT_BACKOFF_US, TimeUnit.MICROSECONDS);
        } finally {
            // Guards clients against getting no answer if the turn failed: nothing was written down for these.
            for (String id : List.copyOf(unansweredSubmissions.keySet())) {
                refuse(id, unansweredSubmissions.get(id));
            }
            callSender.clear();
        }
        // Before anything that waits for it: notices are posted by a task of their own.
        if (!commitRetryPending) {
            commit();
        }
    }

    /**
     * Answers the clients of this turn's new messages. An end that the module decided at once is the answer
     * itself; the others are written down, in one batch with the turn's sends, then answered, and only
     * after that is anything sent.
     */
    private void answerClients(List<Relay.Action> actions) {
        for (Relay.Action action : unansweredSubmissions.isEmpty() ? List.<Relay.Action>of() : actions) {
            if (action instanceof Relay.Refuse refuse && unansweredSubmissions.containsKey(refuse.id())) {
                complete(pendingMessages.get(refuse.id()), End.REFUSED);
                unansweredSubmissions.remove(refuse.id()).refused(refuse.retryAfter());
            } else if (action instanceof Relay.Fail fail && unansweredSubmissions.containsKey(fail.id())) {
                complete(pendingMessages.get(fail.id()), End.FAILED);
                unansweredSubmissions.remove(fail.id()).failed();
            }
        }
        for (String id : List.copyOf(unansweredSubmissions.keySet())) {
            PendingMessage pending = pendingMessages.get(id);
            try {
                pending.entry = journal.take(pending.message, clock.unixMillis());
            } catch (IOException e) {
                LOG.error("store cannot be written, message {} refused", id, e);
            }
            if (pending.entry == null) {
                refuse(id, unansweredSubmissions.get(id));
            } else {
                unansweredSubmissions.get(id).onStaged();
            }
        }
        for (Relay.Action action : actions) {
            if (action instanceof Relay.Send send) {
                callSender.prepare(send);
            }
        }
        commit();
        for (String id : List.copyOf(unansweredSubmissions.keySet())) {
            PendingMessage pending = pendingMessages.get(id);
            if (pending.entry.held()) {
                pending.message = pending.entry.message;
                unansweredSubmissions.remove(id).accepted();
            } else if (pending.entry.uncertain()) {
                // It may be found after a restart: its client must not be told that another try does no harm.
                SubmissionResult answer = unansweredSubmissions.remove(id);
                answer.onNotStored();
                complete(pending, End.FAILED);
                addEvent(new Relay.Withdrawn(id));
                answer.failed();
            } else {
                unansweredSubmissions.get(id).onNotStored();
                refuse(id, unansweredSubmissions.get(id));
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
            // Guards the event loop's turns against a store that fails at once: what is staged anew waits.
            if (!commitRetryPending) {
                commitRetryPending = true;
                loop.schedule(this::retryCommit, FAULT_BACKOFF_US, TimeUnit.MICROSECONDS);
            }
            completionListener.onBatchFailed();
            written = false;
        }
        hostKnowledge.onWritten(written);
        completionListener.onCommitted();
        compaction.startIfNeeded();
        return written;
    }

    private void retryCommit() {
        commitRetryPending = false;
        commit();
    }

    /** Something was noted outside of a turn. */
    private void commitSoon() {
        if (!commitDue && !turnDue && !commitRetryPending) {
            commitDue = true;
            loop.execute(this::commit);
        }
    }

    private void refuse(String id, SubmissionResult answer) {
        unansweredSubmissions.remove(id);
        complete(pendingMessages.get(id), End.REFUSED);
        addEvent(new Relay.Withdrawn(id));
        answer.refused(RETRY_AFTER_US);
    }

    private void execute(Relay.Action action, List<Relay.Action> turn) {
        if (action instanceof Relay.Send send) {
            callSender.send(send, turn);
        } else if (action instanceof Relay.Refuse refuse) {
            endMessage(refuse.id(), new Journal.End(true, refuse.retryAfter()));
        } else if (action instanceof Relay.Fail fail) {
            endMessage(fail.id(), new Journal.End(false, 0));
        } else if (action instanceof Relay.Cancel cancel) {
            PendingMessage pending = pendingMessages.get(cancel.id());
            HostTransport.Call call = pending == null ? null : pending.calls.get(cancel.attempt());
            if (call != null) {
                call.cancel();
            }
        } else if (action instanceof Relay.CloseIdleConnections close) {
            Host host = hosts.host(close.endpoint());
            if (host != null) {
                transport.closeIdle(host);
            }
        } else if (action instanceof Relay.SetTimer wake) {
            loop.schedule(() -> addEvent(new Relay.TimerFired()), wake.delay(), TimeUnit.MICROSECONDS);
        } else if (action instanceof Relay.Log log) {
            LOG.info("{}", log.text());
        }
    }

    // ---- Calls ----------------------------------------------------------------------------------
    private void onCallEnded(PendingMessage pending, int attempt, Host host, CallReply reply) {
        if (successor != null) {
            pending.onCallEnded(attempt);
            successor.onCallEnded(pending.message.id(), attempt, host.name, reply);
            return;
        }
        if (stopped) {
            return;
        }
        pending.onCallEnded(attempt);
        if (reply.retryAfter() > 0) {
            // Guards the rule on waits: calls there that still wait for their connection do not go out.
            boolean apart = settings.kinds().get(host.kind).apart();
            hosts.hosts().stream()
                    .filter(other -> other == host || !apart && other.destination == host.destination)
                    .forEach(transport::recall);
        }
        boolean over = pending.isCompleted || reply.isFinal();
        if (!pending.isCompleted) {
            if (reply.isFinal()) {
                complete(pending, reply.outcome() == Relay.Outcome.OK ? End.SERVED : End.FAILED);
                notifyCompletion(
                        pending.message,
                        reply.outcome() == Relay.Outcome.OK
                                ? CompletionListener.End.DELIVERED
                                : CompletionListener.End.GIVEN_UP,
                        0);
                closeEntry(pending.entry);
            } else if (reply.outcome().neverRan()) {
                recordAttemptNotRun(pending, attempt);
            }
        }
        addEvent(new Relay.AttemptEnded(
                pending.message.id(),
                attempt,
                host.number,
                reply.outcome(),
                over,
                reply.retryAfter(),
                reply.latency(),
                reply.remaining(),
                reply.limit(),
                reply.reused()));
        forgetIfDone(pending);
    }

    private void recordAttemptNotRun(PendingMessage pending, int attempt) {
        try {
            journal.notRun(pending.entry, attempt);
        } catch (IOException e) {
            // The attempt then counts as one that may have run, which is safe.
            LOG.error("store cannot be written, outcome of message {} is not kept", pending.message.id(), e);
        }
        commitSoon();
    }

    // ---- Ends -----------------------------------------------------------------------------------
    private void endMessage(String id, Journal.End end) {
        PendingMessage pending = pendingMessages.get(id);
        if (pending != null && !pending.isCompleted) {
            complete(pending, end.handedBack() ? End.REFUSED : End.FAILED);
            endMessage(pending.entry, end);
        }
    }

    private void endMessage(Journal.Entry entry, Journal.End end) {
        try {
            journal.ended(entry, end);
        } catch (IOException e) {
            LOG.error("store cannot be written, end of message {} is told all the same", entry.message.id(), e);
        }
        notifyCompletion(
                entry.message,
                end.handedBack() ? CompletionListener.End.HANDED_BACK : CompletionListener.End.GIVEN_UP,
                end.retryAfter());
        platform.postNotice(entry);
    }

    /** In the batch that notes the end: reported exactly once, whatever happens in between. */
    private void notifyCompletion(Message message, CompletionListener.End end, long retryAfter) {
        if (message.origin() != null || completionListener.wantsAll()) {
            completionListener.onCompleted(message, end, retryAfter);
            commitSoon();
        }
    }

    /** Sets who is asked whether a message may be submitted; before {@link #start}. */
    public void admissionGate(AdmissionGate gate) {
        admissionGate = gate;
    }

    /** Sets who is notified of the ends of messages that have an origin; before {@link #start}. */
    public void completionListener(CompletionListener listener) {
        completionListener = listener;
    }

    /** Something besides the journal was staged in the store: it goes with this pass's batch. */
    public void onStaged() {
        commitSoon();
    }

    private void complete(PendingMessage pending, End end) {
        pending.isCompleted = true;
        waitingAtGate.remove(pending.message.id());
        openMessages--;
        metrics.ended(classIndexes.get(pending.message.messageClass()), end);
        admissionGate.onEnded(pending.message.id());
        // Guards slots: a send decided in the turn that refuses its message must find it, and end.
        loop.execute(() -> forgetIfDone(pending));
    }

    /** The module may still name a message until the last of its calls has ended. */
    private void forgetIfDone(PendingMessage pending) {
        if (pending.isCompleted && pending.callsInFlight() == 0) {
            pendingMessages.remove(pending.message.id(), pending);
        }
    }

    /**
     * What this loop, the module and the journal do not agree on: each has to hold the same messages between
     * turns. Null where they do, or while an event has not been decided.
     */
    public String findInconsistency() {
        if (stopped || turnDue || !events.isEmpty() || !unansweredSubmissions.isEmpty()) {
            return null;
        }
        Set<String> here = new TreeSet<>();
        pendingMessages.values().stream()
                .filter(pending -> !pending.isCompleted)
                .forEach(pending -> here.add(pending.message.id()));
        Set<String> owed = new TreeSet<>();
        journal.owed().stream().filter(entry -> entry.end == null).forEach(entry -> owed.add(entry.message.id()));
        Set<String> decided = new TreeSet<>(control.memory().openMessageAttemptCounts().keySet());
        // A message that waits at the admission gate is held and written down, and the module has not heard of it.
        decided.addAll(waitingAtGate);
        if (here.equals(owed) && here.equals(decided) && here.size() == openMessages) {
            return null;
        }
        return "loop " + openMessages + " " + summarize(here) + ", module " + summarize(decided) + ", journal "
                + summarize(owed);
    }

    private static String summarize(Set<String> ids) {
        return ids.size() + " " + ids.stream().limit(3).toList();
    }

    /** True while a message of this id was taken on and has not ended. */
    public boolean isPending(String id) {
        return pendingMessages.containsKey(id);
    }

    /** A notice has been acknowledged: nothing more is owed. */
    public void onNoticeAcknowledged(Journal.Entry entry) {
        if (DispatchTrace.ON) {
            DispatchTrace.onNoticeAcknowledged(clock.unixMillis(), entry.message.id());
        }
        closeEntry(entry);
    }

    private void closeEntry(Journal.Entry entry) {
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

    // ---- Hosts excluded by operators ----------------------------------------------------------------------
    /** Nothing new goes to this host from now on; or it may be used again, with care. */
    public void setExcluded(Host host, boolean out) {
        host.excluded = out;
        addEvent(new Relay.EndpointExclusion(host.number, out));
        if (out) {
            transport.recall(host);
            transport.closeIdle(host);
        }
    }

    /** Writes what was staged, between turns. False where it could not be written: none of it lasts. */
    public boolean commitNow() {
        return commit();
    }

    /** Listed hosts that get no ordinary traffic now. */
    public int avoidedHosts() {
        return control.unavailableEndpointCount();
    }

    // ---- Hand-over ------------------------------------------------------------------------------
    /**
     * Ends this loop between turns, for another process to go on with what it held: all events are
     * decided and written, then nothing more. The replies of calls that are out go to the successor.
     */
    public HandoverState handOver(Successor to) {
        turn();
        commit();
        stopped = true;
        successor = to;
        platform.release();
        List<HandoverState.CallInFlight> outs = new ArrayList<>();
        for (PendingMessage pending : pendingMessages.values()) {
            if (!pending.isCompleted) {
                metrics.ended(classIndexes.get(pending.message.messageClass()), End.HANDED_ON);
            }
            for (int i = 0; i < pending.calls.size(); i++) {
                if (pending.isInFlight(i)) {
                    outs.add(new HandoverState.CallInFlight(
                            pending.message.id(), i, pending.hostName(i), pending.isCompleted));
                }
            }
        }
        Map<String, Long> numbers = new HashMap<>();
        hosts.hosts().forEach(host -> numbers.put(host.name, host.number));
        return new HandoverState(control.memory(), controlTimeUs(), clock.unixMillis(), numbers, outs);
    }

    /** Takes back the calls to a host, or to all (null), that were handed on and of which no byte is out. */
    public void recallCalls(Host host) {
        List.copyOf(hosts.hosts()).stream()
                .filter(other -> host == null || other == host)
                .forEach(transport::recall);
    }

    /** Cancels a call that was out when this loop was handed on; its reply comes as any other. */
    public void cancelCall(String id, int attempt) {
        PendingMessage pending = pendingMessages.get(id);
        if (successor != null
                && pending != null
                && attempt < pending.calls.size()
                && pending.calls.get(attempt) != null) {
            pending.calls.get(attempt).cancel();
        }
    }

    /** Cancels all that was out when this loop was handed on: nobody waits for its replies any more. */
    public void cancelAllCalls() {
        for (PendingMessage pending : List.copyOf(pendingMessages.values())) {
            for (int i = 0; i < pending.calls.size(); i++) {
                cancelCall(pending.message.id(), i);
            }
        }
    }

    /** Calls that were out when this loop was handed on, and still are. */
    public int callsInFlight() {
        return pendingMessages.values().stream()
                .mapToInt(PendingMessage::callsInFlight)
                .sum();
    }

    /** In the place of {@link #start}: goes on with what was handed on; {@code whole}: the list as it is. */
    public void resume(Platform on, Relay.EndpointsListed whole, HandoverState from, RemoteCalls remoteCalls) {
        platform = on;
        hostKnowledge.onHandedOver();
        for (Journal.Entry entry : journal.owed()) {
            if (entry.end != null) {
                platform.postNotice(entry);
                continue;
            }
            PendingMessage pending = new PendingMessage(entry.message, entry);
            entry.attempts.forEach(attempt -> pending.calls.add(null));
            pendingMessages.put(pending.message.id(), pending);
            openMessages++;
            metrics.taken(classIndexes.get(pending.message.messageClass()));
            admissionGate.onRecovered(pending.message);
        }
        for (HandoverState.CallInFlight call : from.callsInFlight()) {
            PendingMessage pending = pendingMessages.computeIfAbsent(call.id(), id -> PendingMessage.completed(id));
            while (pending.calls.size() <= call.attempt()) {
                pending.calls.add(null);
            }
            pending.onCallStarted(call.attempt(), call.host());
            pending.calls.set(
                    call.attempt(),
                    remoteCalls.takeOver(
                            call.id(),
                            call.attempt(),
                            hosts.hostNamed(call.host()),
                            (host, reply) -> onCallEnded(pending, call.attempt(), host, reply)));
        }
        addEvent(whole);
        turn();
    }

    // ---- List -----------------------------------------------------------------------------------
    /** The list or its changes are here, and {@link HostDirectory} holds them. */
    public void onListed(Relay.EndpointsListed list) {
        addEvent(list);
        hostKnowledge.onListed(list).forEach(this::addEvent);
        commitSoon();
        for (Host host : hosts.hosts()) {
            if (!host.ready || host.excluded) {
                transport.recall(host);
                transport.closeIdle(host);
            }
        }
        removeGoneHosts();
    }

    private void runMaintenance() {
        removeGoneHosts();
        if (!stopped && hostKnowledge.recordChanges()) {
            commitSoon();
        }
    }

    /** Hosts come and go all day: what is gone and has nothing out is not kept. */
    private void removeGoneHosts() {
        for (Host host : List.copyOf(hosts.hosts())) {
            if (host.gone && !host.excluded && transport.forget(host)) {
                hosts.forget(host);
                hostKnowledge.onForgotten(host);
            }
        }
    }
}
