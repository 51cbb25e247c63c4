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
 * Runs the control module ({@link Control}) on one event loop: collects network and platform events, passes them to the
 * module in turns, and executes the actions that the module returns, in order. All scheduling decisions are the
 * module's. Not thread-safe: everything runs on the event loop's thread.
 */
public final class EventDispatcher implements MessageReceiver {
    private static final Logger LOG = LoggerFactory.getLogger(EventDispatcher.class);
    /** us; retry-after time of a message that is rejected without a decision of the control module. */
    private static final long RETRY_AFTER_US = 1_000_000;
    /**
     * ms; lifetime that a message deferred by the admission gate must have left at its next admission check, so that
     * there is time to deliver it or to send the notice of its end.
     */
    private static final long MIN_REMAINING_LIFETIME_MS = 300;

    /** us; delay before the retry after a failed commit or turn. */
    private static final long FAULT_BACKOFF_US = 100_000;
    /** s; interval at which removed hosts are dropped and changed host knowledge is recorded. */
    private static final long MAINTENANCE_INTERVAL_S = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final RateLimitedLog rateLimitedLog;
    private final Relay.Settings settings;
    private final Control control;
    /** us; added to {@link #clock} to give the control module's time. */
    private final long clockOffsetUs;
    /** Receives the replies of calls in flight after {@link #handOver}; null before that. */
    private Successor successor;

    private final HostDirectory hosts;
    private final HostTransport transport;
    private final Journal journal;
    private Platform platform;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, PendingMessage> pendingMessages = new HashMap<>();
    private List<Relay.Event> events = new ArrayList<>();
    /** Ids of messages that are stored but that the admission gate has not admitted yet. */
    private final Set<String> waitingAtGate = new HashSet<>();

    private final Map<String, SubmissionResult> unansweredSubmissions = new LinkedHashMap<>();
    private boolean turnDue;
    private boolean stopped;
    private int openMessages;
    private CompletionListener completionListener = CompletionListener.NONE;
    private AdmissionGate admissionGate = AdmissionGate.ALWAYS_OPEN;
    private boolean commitDue;
    /** The last commit failed: until {@link #retryCommit}, only {@link #answerClients} commits. */
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

    /** Continues from another process's handover state; to be followed by {@link #resume}, not {@link #start}. */
    public EventDispatcher(
            Machine machine,
            long seed,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            MessageMetrics metrics,
            HandoverState handoverState) {
        this(
                machine,
                settings,
                hosts,
                transport,
                journal,
                metrics,
                new Control(seed, settings, handoverState.memory()),
                handoverState.controlTimeAt(machine.clock().unixMillis())
                        - machine.clock().micros());
    }

    private EventDispatcher(
            Machine machine,
            Relay.Settings settings,
            HostDirectory hosts,
            HostTransport transport,
            Journal journal,
            MessageMetrics metrics,
            Control control,
            long clockOffsetUs) {
        this.loop = machine.loop();
        this.clock = machine.clock();
        this.rateLimitedLog = new RateLimitedLog(LOG, clock);
        this.settings = settings;
        this.control = control;
        this.clockOffsetUs = clockOffsetUs;
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
        loop.scheduleWithFixedDelay(
                this::runMaintenance, MAINTENANCE_INTERVAL_S, MAINTENANCE_INTERVAL_S, TimeUnit.SECONDS);
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
    }

    /**
     * Passes the last known host list (null: none) and the messages in the journal to the control module, then starts
     * to watch the platform, which calls {@link #onListed} and {@link #onNoticeAcknowledged}.
     */
    public void start(Platform platform, Relay.EndpointsListed lastKnownList) {
        this.platform = platform;
        if (DispatchTrace.ON) {
            DispatchTrace.settings(clock.unixMillis(), settings);
        }
        if (lastKnownList != null) {
            addEvent(hostKnowledge.withLeavingHostsDraining(lastKnownList));
            hostKnowledge.restoredEvents().forEach(this::addEvent);
        }
        for (Journal.Entry entry : journal.owed()) {
            if (entry.end != null) {
                platform.postNotice(entry);
            } else if (!classIndexes.containsKey(entry.message.messageClass())) {
                LOG.warn(
                        "failing message {}: message class {} is no longer configured",
                        entry.message.id(),
                        entry.message.messageClass());
                endMessage(entry, new Journal.End(false, 0));
            } else {
                recover(entry);
            }
        }
        turn();
        platform.watch();
    }

    /** Restores a message from the journal: its deadline and attempt times are converted to the module's clock. */
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

    /** The platform agent has a new address. */
    public void onAgentAddressChanged(InetSocketAddress agent) {
        platform.onAgentAddressChanged(agent);
    }

    /** Stops all decisions and journal writes; after a restart, calls still in flight count as possibly executed. */
    public void stop() {
        stopped = true;
    }

    public boolean isIdle() {
        return openMessages == 0 && !platform.hasUnacknowledgedNotices();
    }

    // ---- Clients --------------------------------------------------------------------------------
    @Override
    public void accept(Message message, SubmissionResult result) {
        PendingMessage existing = pendingMessages.get(message.id());
        if (existing != null && !existing.isCompleted) {
            // A client resends a request whose connection closed during the write; the message may be held already.
            if (existing.message.sameAs(message)) {
                result.duplicate();
            } else {
                result.conflict();
            }
            return;
        }
        if (existing != null || openMessages >= settings.allowed().openMessages()) {
            metrics.turnedAway(classIndexes.get(message.messageClass()), End.REFUSED);
            result.refused(RETRY_AFTER_US);
            return;
        }
        AdmissionGate.Decision decision = admissionGate.admit(message);
        if (decision instanceof AdmissionGate.Rejected rejected) {
            rejected.recalledIds().forEach(id -> addEvent(new Relay.Recalled(id)));
            metrics.turnedAway(classIndexes.get(message.messageClass()), End.REFUSED);
            result.refused(rejected.retryAfter());
            return;
        }
        PendingMessage pending = new PendingMessage(message, null);
        pendingMessages.put(message.id(), pending);
        openMessages++;
        metrics.taken(classIndexes.get(message.messageClass()));
        unansweredSubmissions.put(message.id(), result);
        // The turn runs after the event loop has read all pending input, so one batch and one sync cover all of it.
        if (decision instanceof AdmissionGate.Deferred deferred) {
            waitingAtGate.add(message.id());
            addEvent(new Relay.TimerFired());
            loop.schedule(() -> retryAdmission(pending), deferred.retryAfter(), TimeUnit.MICROSECONDS);
        } else {
            addEvent(acceptedEvent(message, List.of()));
        }
    }

    /**
     * Asks the admission gate again for a deferred message: admits it, defers it again, or rejects it while there is
     * still time to do so.
     */
    private void retryAdmission(PendingMessage pending) {
        if (pending.isCompleted || stopped) {
            return;
        }
        AdmissionGate.Decision decision = admissionGate.retry(pending.message);
        if (!(decision instanceof AdmissionGate.Deferred deferred)) {
            waitingAtGate.remove(pending.message.id());
            addEvent(acceptedEvent(pending.message, List.of()));
        } else if (clock.unixMillis() + deferred.retryAfter() / 1_000 + MIN_REMAINING_LIFETIME_MS
                >= pending.message.deadline()) {
            endMessage(pending.message.id(), new Journal.End(true, deferred.retryAfter()));
        } else {
            loop.schedule(() -> retryAdmission(pending), deferred.retryAfter(), TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void withdraw(String id) {
        // Deferred to its own task: within the turn that accepts the message, its first send would be skipped, and the
        // control module would wait for the end of that send forever, which leaks a slot.
        loop.execute(() -> onWithdrawn(id));
    }

    private void onWithdrawn(String id) {
        PendingMessage pending = pendingMessages.get(id);
        if (pending != null && !pending.isCompleted) {
            rateLimitedLog.warn("message " + id + " withdrawn: client disconnected before the response");
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

    /** Converts Unix time (ms) to the control module's time (us), which is negative before that clock's start. */
    private long toControlTime(long unixMs) {
        return controlTimeUs() + (unixMs - clock.unixMillis()) * 1_000;
    }

    private void turn() {
        turnDue = false;
        if (events.isEmpty() || stopped) {
            return;
        }
        List<Relay.Event> batch = events;
        events = new ArrayList<>();
        try {
            List<Relay.Action> actions = control.turn(controlTimeUs(), batch);
            if (DispatchTrace.ON) {
                DispatchTrace.turn(clock.unixMillis(), controlTimeUs(), batch, actions);
            }
            hostKnowledge.stageRetryAfterTimes(batch);
            answerClients(actions);
            for (Relay.Action action : actions) {
                try {
                    execute(action, actions);
                } catch (RuntimeException e) {
                    LOG.error("action {} failed", action, e);
                }
            }
        } catch (RuntimeException e) {
            LOG.error("turn failed for events {}", batch, e);
            // The failed turn may have lost the control module's timer; without an event nothing would run again.
            loop.schedule(() -> addEvent(new Relay.TimerFired()), FAULT_BACKOFF_US, TimeUnit.MICROSECONDS);
        } finally {
            // After a failed turn, clients still need a response; nothing was stored for these messages.
            for (String id : List.copyOf(unansweredSubmissions.keySet())) {
                refuse(id, unansweredSubmissions.get(id));
            }
            callSender.clear();
        }
        // Commits before anything that depends on it: notices are posted by a later task of the event loop.
        if (!commitRetryPending) {
            commit();
        }
    }

    /**
     * Responds to the clients of this turn's new messages. A message that the control module refused or failed at once
     * gets that as its response. The others are written in one batch with the turn's sends, then accepted; nothing is
     * sent before that.
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
                LOG.error("store write failed; message {} refused", id, e);
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
                // A restart may recover this message, so the client must not be told that a retry is safe.
                SubmissionResult result = unansweredSubmissions.remove(id);
                result.onNotStored();
                complete(pending, End.FAILED);
                addEvent(new Relay.Withdrawn(id));
                result.failed();
            } else {
                unansweredSubmissions.get(id).onNotStored();
                refuse(id, unansweredSubmissions.get(id));
            }
        }
    }

    /**
     * Commits what has been staged. After a failure, {@link Journal.Entry#held} and {@link Journal.Attempt#mayHaveRun}
     * show it for each message and send of the batch.
     *
     * @return false if the commit failed or the dispatcher has stopped
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
            LOG.error("store commit failed; new messages of this turn are refused and its sends are not made", e);
            // A store that fails at once would otherwise keep the event loop busy with retries of restaged records.
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

    /** Schedules a commit of records that were staged outside a turn. */
    private void commitSoon() {
        if (!commitDue && !turnDue && !commitRetryPending) {
            commitDue = true;
            loop.execute(this::commit);
        }
    }

    private void refuse(String id, SubmissionResult result) {
        unansweredSubmissions.remove(id);
        complete(pendingMessages.get(id), End.REFUSED);
        addEvent(new Relay.Withdrawn(id));
        result.refused(RETRY_AFTER_US);
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
            // The retry-after time also applies to calls that still wait for a connection to the same limit scope.
            boolean hasOwnLimits = settings.kinds().get(host.kind).apart();
            hosts.hosts().stream()
                    .filter(other -> other == host || !hasOwnLimits && other.destination == host.destination)
                    .forEach(transport::recall);
        }
        boolean isFinal = pending.isCompleted || reply.isFinal();
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
                isFinal,
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
            // The attempt then counts as possibly executed, which is safe.
            LOG.error(
                    "store write failed; proof that an attempt of message {} did not run is not recorded",
                    pending.message.id(),
                    e);
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
            LOG.error("store write failed; end of message {} is not recorded but is reported", entry.message.id(), e);
        }
        notifyCompletion(
                entry.message,
                end.handedBack() ? CompletionListener.End.HANDED_BACK : CompletionListener.End.GIVEN_UP,
                end.retryAfter());
        platform.postNotice(entry);
    }

    /** Called in the batch that records the end, so that the end is reported exactly once even across a crash. */
    private void notifyCompletion(Message message, CompletionListener.End end, long retryAfter) {
        if (message.origin() != null || completionListener.wantsAll()) {
            completionListener.onCompleted(message, end, retryAfter);
            commitSoon();
        }
    }

    /** Sets the gate that new messages must pass; to be called before {@link #start}. */
    public void admissionGate(AdmissionGate gate) {
        admissionGate = gate;
    }

    /** Sets the listener for the ends of messages; to be called before {@link #start}. */
    public void completionListener(CompletionListener listener) {
        completionListener = listener;
    }

    /** Another owner of the store has staged records: they are committed with the event loop's next batch. */
    public void onStaged() {
        commitSoon();
    }

    private void complete(PendingMessage pending, End end) {
        pending.isCompleted = true;
        waitingAtGate.remove(pending.message.id());
        openMessages--;
        metrics.ended(classIndexes.get(pending.message.messageClass()), end);
        admissionGate.onEnded(pending.message.id());
        // Removed later: a send decided in the turn that refuses its message must still find the message and end, or
        // its slot leaks.
        loop.execute(() -> forgetIfDone(pending));
    }

    /** Removes a completed message once its last call has ended; until then, the control module may refer to it. */
    private void forgetIfDone(PendingMessage pending) {
        if (pending.isCompleted && pending.callsInFlight() == 0) {
            pendingMessages.remove(pending.message.id(), pending);
        }
    }

    /**
     * Compares the open messages of the dispatcher, the control module and the journal, which must be the same between
     * turns.
     *
     * @return a description of the difference; null if there is none, or while events are pending
     */
    public String findInconsistency() {
        if (stopped || turnDue || !events.isEmpty() || !unansweredSubmissions.isEmpty()) {
            return null;
        }
        Set<String> dispatcherIds = new TreeSet<>();
        pendingMessages.values().stream()
                .filter(pending -> !pending.isCompleted)
                .forEach(pending -> dispatcherIds.add(pending.message.id()));
        Set<String> journalIds = new TreeSet<>();
        journal.owed().stream().filter(entry -> entry.end == null).forEach(entry -> journalIds.add(entry.message.id()));
        Set<String> controlIds =
                new TreeSet<>(control.memory().openMessageAttemptCounts().keySet());
        // A message that waits at the admission gate is stored, but not yet known to the control module.
        controlIds.addAll(waitingAtGate);
        if (dispatcherIds.equals(journalIds)
                && dispatcherIds.equals(controlIds)
                && dispatcherIds.size() == openMessages) {
            return null;
        }
        return "open messages differ: counter " + openMessages + ", dispatcher " + summarize(dispatcherIds)
                + ", control module " + summarize(controlIds) + ", journal " + summarize(journalIds);
    }

    private static String summarize(Set<String> ids) {
        return ids.size() + " " + ids.stream().limit(3).toList();
    }

    /** True while a message of this id is open or still has calls in flight. */
    public boolean isPending(String id) {
        return pendingMessages.containsKey(id);
    }

    /** The platform has acknowledged the notice of a message's end: its journal entry can be closed. */
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
            LOG.error("store write failed; message {} will be recovered again after a restart", entry.message.id(), e);
        }
        commitSoon();
    }

    // ---- Hosts excluded by operators ------------------------------------------------------------
    /** Excludes a host from all new calls, or readmits it; a readmitted host is probed first. */
    public void setExcluded(Host host, boolean excluded) {
        host.excluded = excluded;
        addEvent(new Relay.EndpointExclusion(host.number, excluded));
        if (excluded) {
            transport.recall(host);
            transport.closeIdle(host);
        }
    }

    /** Commits staged records between turns; false if the commit failed and none of them is durable. */
    public boolean commitNow() {
        return commit();
    }

    /** Number of listed hosts that get no regular traffic at present. */
    public int avoidedHosts() {
        return control.unavailableEndpointCount();
    }

    // ---- Handover -------------------------------------------------------------------------------
    /**
     * Stops this dispatcher between turns and returns its state for another process to continue. Pending events are
     * processed and committed first. The replies of calls in flight go to the successor.
     */
    public HandoverState handOver(Successor newSuccessor) {
        turn();
        commit();
        stopped = true;
        successor = newSuccessor;
        platform.release();
        List<HandoverState.CallInFlight> callsInFlight = new ArrayList<>();
        for (PendingMessage pending : pendingMessages.values()) {
            if (!pending.isCompleted) {
                metrics.ended(classIndexes.get(pending.message.messageClass()), End.HANDED_ON);
            }
            for (int i = 0; i < pending.calls.size(); i++) {
                if (pending.isInFlight(i)) {
                    callsInFlight.add(new HandoverState.CallInFlight(
                            pending.message.id(), i, pending.hostName(i), pending.isCompleted));
                }
            }
        }
        Map<String, Long> hostNumbers = new HashMap<>();
        hosts.hosts().forEach(host -> hostNumbers.put(host.name, host.number));
        return new HandoverState(control.memory(), controlTimeUs(), clock.unixMillis(), hostNumbers, callsInFlight);
    }

    /** After a handover, recalls calls of which no byte has been written, to one host or to all (null). */
    public void recallCalls(Host host) {
        List.copyOf(hosts.hosts()).stream()
                .filter(other -> host == null || other == host)
                .forEach(transport::recall);
    }

    /** Cancels a call that was in flight at the handover; its reply is delivered like any other. */
    public void cancelCall(String id, int attempt) {
        PendingMessage pending = pendingMessages.get(id);
        if (successor != null
                && pending != null
                && attempt < pending.calls.size()
                && pending.calls.get(attempt) != null) {
            pending.calls.get(attempt).cancel();
        }
    }

    /** Cancels all calls that were in flight at the handover, when nobody waits for their replies any more. */
    public void cancelAllCalls() {
        for (PendingMessage pending : List.copyOf(pendingMessages.values())) {
            for (int i = 0; i < pending.calls.size(); i++) {
                cancelCall(pending.message.id(), i);
            }
        }
    }

    /** Number of calls in flight, after a handover of those that have not ended since. */
    public int callsInFlight() {
        return pendingMessages.values().stream()
                .mapToInt(PendingMessage::callsInFlight)
                .sum();
    }

    /** Continues from a handover, instead of {@link #start}; {@code fullList}: the complete current host list. */
    public void resume(
            Platform newPlatform,
            Relay.EndpointsListed fullList,
            HandoverState handoverState,
            RemoteCalls remoteCalls) {
        platform = newPlatform;
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
        for (HandoverState.CallInFlight call : handoverState.callsInFlight()) {
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
        addEvent(fullList);
        turn();
    }

    // ---- Host list ------------------------------------------------------------------------------
    /** A full or partial host list has arrived and has been applied to the {@link HostDirectory}. */
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

    /** Drops gone hosts without open connections, unless they are excluded, so that host churn does not leak memory. */
    private void removeGoneHosts() {
        for (Host host : List.copyOf(hosts.hosts())) {
            if (host.gone && !host.excluded && transport.forget(host)) {
                hosts.forget(host);
                hostKnowledge.onForgotten(host);
            }
        }
    }
}
