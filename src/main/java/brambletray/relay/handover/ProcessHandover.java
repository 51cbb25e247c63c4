package brambletray.relay.handover;

import brambletray.common.runtime.Clock;
import brambletray.common.runtime.Machine;
import brambletray.relay.console.CommandResponse;
import brambletray.relay.control.Relay;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.HandoverState;
import brambletray.relay.core.Host;
import brambletray.relay.core.SubmissionResult;
import brambletray.relay.core.Successor;
import brambletray.relay.message.Message;
import brambletray.relay.store.Disk;
import io.netty.channel.Channel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what {@link OwnershipLease} asks of one process, over the link to the other: serves clients through
 * the owner while this one does not own, hands on, takes over, takes back. One thread, that of the loop.
 */
public final class ProcessHandover {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessHandover.class);
    /** ms; between ticks while ownership is open. */
    private static final long TICK = 20;
    /** Bytes of the module's memory beyond which nothing of it is handed on. */
    private static final int MEMORY_MOST = 4 << 20;

    private final Machine machine;
    private final Clock clock;
    private final HandoverActions duties;
    private final Disk disk;
    private final String settings;
    private final OwnershipLease tenure;
    private final ForwardedSubmissions submissions = new ForwardedSubmissions();
    /** Operators' calls that wait for the owner's answer. */
    private final Map<Long, Consumer<CommandResponse>> asked = new HashMap<>();

    private final ForwardedCalls far;
    /** To the process that this one follows, and to the one that follows this; null where there is none. */
    private HandoverLink before;

    private HandoverLink after;
    /** Messages that came from the other process while it is open who owns. */
    private final List<HandoverFrame.Submit> deferred = new ArrayList<>();

    private HandoverState state;
    private String secret;
    private long lastAsked;
    /** The one that follows has the same settings: the module's memory means the same there. */
    private boolean sameSettings;

    private boolean joining;
    private boolean ticking;
    private boolean stopped;

    public ProcessHandover(Machine machine, HandoverActions duties, Disk disk, Relay.Settings settings) {
        this.machine = machine;
        this.clock = machine.clock();
        this.duties = duties;
        this.disk = disk;
        this.settings = MemoryCodec.digest(settings);
        this.tenure = new OwnershipLease(clock.nanos());
        this.far = new ForwardedCalls(duties::host, this::tellBefore);
    }

    /** Looks for the folder's lock, or for its owner. */
    public void begin() {
        act(tenure.begin());
    }

    /** True where this process owns. */
    public boolean owns() {
        return tenure.owns();
    }

    /** True once clients can be served here. */
    public boolean serves() {
        return tenure.serves();
    }

    /** This process is told to end. */
    public void leave() {
        act(tenure.leave(clock.nanos()));
    }

    /** The abrupt end: nothing more is said, and nothing heard. */
    public void stop() {
        stopped = true;
        for (HandoverLink link : new HandoverLink[] {before, after}) {
            if (link != null) {
                link.close();
            }
        }
    }

    // ---- Steps ----------------------------------------------------------------------------------
    private void act(List<OwnershipLease.Step> steps) {
        if (stopped) {
            return;
        }
        for (OwnershipLease.Step step : steps) {
            switch (step) {
                case OPEN -> open();
                case JOIN -> join();
                case SERVE -> duties.listen(() -> {});
                case OWN -> own(null);
                case RESUME -> own(state != null && duties.fits(state) ? state : null);
                case CONFIRM -> tellBefore(new HandoverFrame.Owner(state == null));
                case DECLINE -> {
                    state = null;
                    deferred.clear();
                    tellBefore(new HandoverFrame.Declined());
                }
                case WELCOME -> after.send(new HandoverFrame.Welcome(duties.drained(), duties.avoided()));
                case TURN_AWAY -> {}
                case HAND_ON -> handOn();
                case KEEP -> tellAfter(new HandoverFrame.Kept());
                case LEAVE -> duties.leave();
                case END -> duties.end(tenure.phase() instanceof OwnershipLease.Over over ? over.fault() : null);
            }
        }
        if (tenure.restless() && !ticking) {
            ticking = true;
            machine.loop().schedule(this::tick, TICK, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        ticking = false;
        if (tenure.restless() && !stopped) {
            act(tenure.tick(clock.nanos()));
        }
    }

    private void open() {
        try {
            act(duties.open() ? tenure.opened() : tenure.locked());
        } catch (IOException e) {
            LOG.error("the store cannot be opened", e);
            act(tenure.unusable("cannot open the store in EDGE_STATE: " + e.getMessage()));
        }
    }

    private void own(HandoverState from) {
        if (from == null && state != null) {
            LOG.warn("what was handed on does not fit what is here: the relay starts with care");
        }
        state = from;
        duties.takeUp(from, from == null ? null : far);
        meet();
        LOG.info("this process owns the folder{}", from == null ? "" : ", as it was handed on");
        // What came while it was open who owns; then what waited here.
        List<HandoverFrame.Submit> came = List.copyOf(deferred);
        deferred.clear();
        came.forEach(submit -> submitted(submit, before));
        submissions.handIn(duties.intake());
    }

    /** Others find this process by a file in the folder. */
    private void meet() {
        byte[] random = new byte[16];
        new SecureRandom().nextBytes(random);
        secret = HexFormat.of().formatHex(random);
        try {
            new OwnerAddressFile(duties.console(), secret).write(disk);
        } catch (IOException e) {
            LOG.error("no process can take this one's place: {} cannot be written", OwnerAddressFile.NAME, e);
        }
    }

    // ---- The process that follows ----------------------------------------------------------------
    /** True for the secret that the folder tells. */
    public boolean knows(String told) {
        return secret != null
                && told != null
                && MessageDigest.isEqual(
                        secret.getBytes(StandardCharsets.UTF_8), told.getBytes(StandardCharsets.UTF_8));
    }

    /** A process that knows the secret has connected; what it says is read from now on. */
    public void accept(Channel channel) {
        HandoverLink[] link = new HandoverLink[1];
        link[0] = new HandoverLink(channel, frame -> told(frame, link[0]), () -> lost(link[0]));
    }

    private void greeted(HandoverFrame.Hello hello, HandoverLink link) {
        if (hello.version() != HandoverFrameCodec.VERSION) {
            link.send(new HandoverFrame.TurnedAway(
                    "the process that runs hands over to version " + HandoverFrameCodec.VERSION + " only"));
            return;
        }
        if (!tenure.asked().contains(OwnershipLease.Step.WELCOME)) {
            link.send(new HandoverFrame.TurnedAway("another process is about to take over already"));
            return;
        }
        after = link;
        sameSettings = hello.settings().equals(settings);
        LOG.info("another process serves through this one");
        act(List.of(OwnershipLease.Step.WELCOME));
    }

    private void handOn() {
        HandoverState handoff = duties.handOn(new Successor() {
            @Override
            public void onCallEnded(String id, int attempt, String host, CallReply reply) {
                tellAfter(new HandoverFrame.Ended(id, attempt, host, reply));
            }
        });
        byte[] memory = {};
        try {
            memory = MemoryCodec.encode(handoff.memory());
        } catch (IOException | RuntimeException e) {
            LOG.error("the module's memory is not handed on", e);
        }
        if (memory.length > MEMORY_MOST || !sameSettings) {
            LOG.warn(
                    "the module's memory is not handed on: {} bytes, {}",
                    memory.length,
                    sameSettings ? "too many" : "other settings");
            memory = new byte[0];
        }
        tellAfter(new HandoverFrame.State(
                handoff.controlTimeUs(), handoff.unixMs(), handoff.hostNumbers(), handoff.callsInFlight(), memory));
        duties.takeBackOut(null);
        duties.serveOut();
    }

    // ---- The process before ----------------------------------------------------------------------
    private void join() {
        OwnerAddressFile meeting = OwnerAddressFile.read(disk);
        if (joining || before != null || meeting == null) {
            return;
        }
        joining = true;
        HandoverConnector.connect(machine, meeting, channel -> {
            joining = false;
            if (channel == null) {
                return;
            }
            if (stopped) {
                channel.close();
                return;
            }
            HandoverLink[] link = new HandoverLink[1];
            link[0] = new HandoverLink(channel, frame -> told(frame, link[0]), () -> lost(link[0]));
            before = link[0];
            before.send(new HandoverFrame.Hello(HandoverFrameCodec.VERSION, settings));
        });
    }

    private void tellBefore(HandoverFrame frame) {
        if (before != null) {
            before.send(frame);
        }
    }

    private void tellAfter(HandoverFrame frame) {
        if (after != null) {
            after.send(frame);
        }
    }

    /** Whoever owns, seen from here. */
    private HandoverLink owner() {
        return tenure.owns()
                ? null
                : tenure.phase() instanceof OwnershipLease.Yielding
                                || tenure.phase() instanceof OwnershipLease.Yielded
                                || tenure.phase() instanceof OwnershipLease.Retaking
                        ? after
                        : before;
    }

    private void lost(HandoverLink link) {
        boolean follower = link == after;
        if (link == before) {
            before = null;
            far.lost();
        } else if (link == after) {
            after = null;
        } else {
            return;
        }
        asked.values().forEach(then -> then.accept(new CommandResponse(503, "the owner is gone: ask again")));
        asked.clear();
        if (follower || !tenure.owns()) {
            act(tenure.lost(clock.nanos()));
        }
    }

    // ---- What is told ----------------------------------------------------------------------------
    private void told(HandoverFrame frame, HandoverLink link) {
        if (frame instanceof HandoverFrame.Hello hello) {
            greeted(hello, link);
        } else if (frame instanceof HandoverFrame.Welcome welcome) {
            duties.drained(welcome.drained());
            duties.avoided(welcome.avoided());
            act(tenure.joined());
            submissions.all().forEach(link::send);
        } else if (frame instanceof HandoverFrame.TurnedAway turnedAway) {
            // Closed first: a try that follows needs a connection of its own.
            link.close();
            act(tenure.turnedAway(turnedAway.why(), clock.nanos()));
        } else if (frame instanceof HandoverFrame.Submit submit) {
            submitted(submit, link);
        } else if (frame instanceof HandoverFrame.Answered answered) {
            submissions.answered(answered, tenure.owns() ? duties.intake() : null);
        } else if (frame instanceof HandoverFrame.Withdraw withdraw) {
            withdraw(withdraw.id());
        } else if (frame instanceof HandoverFrame.Exclude exclude) {
            if (tenure.owns()) {
                duties.operations()
                        .exclude(
                                exclude.host(),
                                exclude.out(),
                                said -> link.send(
                                        new HandoverFrame.Told(exclude.number(), said.status(), said.text())));
            } else {
                link.send(new HandoverFrame.Told(exclude.number(), 503, "this process does not own: ask again"));
            }
        } else if (frame instanceof HandoverFrame.Told told) {
            Consumer<CommandResponse> then = asked.remove(told.number());
            if (then != null) {
                then.accept(new CommandResponse(told.status(), told.text()));
            }
        } else if (frame instanceof HandoverFrame.Drained drained) {
            duties.drained(drained.away());
        } else if (frame instanceof HandoverFrame.State f) {
            received(f);
        } else if (frame instanceof HandoverFrame.Owner owner) {
            if (owner.careful()) {
                // Nobody waits for what is out here: their hosts learn of it by the close.
                duties.cancelAllOut();
            }
            act(tenure.confirmed());
        } else if (frame instanceof HandoverFrame.Declined) {
            act(tenure.declined());
        } else if (frame instanceof HandoverFrame.Kept) {
            state = null;
            deferred.clear();
            act(tenure.kept());
            submissions.all().forEach(link::send);
        } else if (frame instanceof HandoverFrame.Ended ended) {
            far.ended(ended);
        } else if (frame instanceof HandoverFrame.Cancel cancel) {
            duties.cancelOut(cancel.id(), cancel.attempt());
        } else if (frame instanceof HandoverFrame.TakeBack takeBack) {
            duties.takeBackOut(takeBack.host());
        }
    }

    private void received(HandoverFrame.State f) {
        state = null;
        if (f.memory().length > 0) {
            try {
                state = new HandoverState(MemoryCodec.decode(f.memory()), f.time(), f.unix(), f.numbers(), f.outs());
            } catch (IOException e) {
                LOG.warn("what was handed on is of no use, the relay starts with care: {}", e.getMessage());
            }
        }
        act(tenure.received(clock.nanos()));
    }

    private void submitted(HandoverFrame.Submit submit, HandoverLink link) {
        if (tenure.owns()) {
            duties.intake().accept(submit.message(), new SubmissionResult() {
                @Override
                public void accepted() {
                    answer(HandoverFrame.Met.TAKEN, 0);
                }

                @Override
                public void duplicate() {
                    answer(HandoverFrame.Met.HELD, 0);
                }

                @Override
                public void conflict() {
                    answer(HandoverFrame.Met.CONFLICT, 0);
                }

                @Override
                public void refused(long retryAfter) {
                    answer(HandoverFrame.Met.REFUSED, retryAfter);
                }

                @Override
                public void failed() {
                    answer(HandoverFrame.Met.FAILED, 0);
                }

                private void answer(HandoverFrame.Met met, long retryAfter) {
                    if (link != null) {
                        link.send(new HandoverFrame.Answered(submit.number(), met, retryAfter));
                    }
                }
            });
        } else if (link == before && deferred.size() < ForwardedSubmissions.MOST) {
            deferred.add(submit);
        } else {
            link.send(new HandoverFrame.Answered(submit.number(), HandoverFrame.Met.BOUNCED, 0));
        }
    }

    // ---- What clients and operators ask here while another owns -----------------------------------
    /** A message was handed in here; whoever owns takes it. */
    public void accept(Message message, SubmissionResult answer) {
        if (tenure.owns()) {
            duties.intake().accept(message, answer);
            return;
        }
        HandoverFrame.Submit frame = submissions.submit(message, answer);
        if (frame != null && owner() != null) {
            owner().send(frame);
        }
    }

    /** As {@link MessageReceiver#withdraw}. */
    public void withdraw(String id) {
        if (tenure.owns()) {
            duties.intake().withdraw(id);
        } else if (owner() != null) {
            owner().send(new HandoverFrame.Withdraw(id));
        }
    }

    /** An operator's call about a host. */
    public void exclude(String host, boolean out, Consumer<CommandResponse> then) {
        if (tenure.owns()) {
            duties.operations().exclude(host, out, then);
        } else if (owner() == null) {
            then.accept(new CommandResponse(503, "no process owns just now: ask again"));
        } else {
            asked.put(++lastAsked, then);
            owner().send(new HandoverFrame.Exclude(lastAsked, host, out));
        }
    }

    /** Operators drain this relay, or end that, by a call here. */
    public void drained(boolean away) {
        tellBefore(new HandoverFrame.Drained(away));
        tellAfter(new HandoverFrame.Drained(away));
    }

    /** Calls to a host of which no byte is out are to be taken back, also those that stayed elsewhere. */
    public void takeBack(Host host) {
        if (far.any()) {
            tellBefore(new HandoverFrame.TakeBack(host.name));
        }
    }
}
