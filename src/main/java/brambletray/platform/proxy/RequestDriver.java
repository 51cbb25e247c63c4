package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.HedgeDelay;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Carries out what a {@link RequestLifecycle} wants, and tells it what happens: between one client, the broker and the
 * lines to
 * hosts.
 */
final class RequestDriver implements RequestActions {
    private final RequestRouter flow;
    private final ClientRequest clientRequest;
    private final String id;
    private final RequestPlan plan;
    private final int mostLines;
    private final RequestLifecycle lifecycle;
    private final HedgeDelay pace;
    private final List<HostExchange> stops = new ArrayList<>(2);
    /** Null once it has its answer or is gone. */
    private ClientConnection client;
    /** Where the answer comes from that is given on as it comes. */
    private HostExchange flowing;

    private Future<?> timer;
    private long timerAt;
    private boolean held = true;
    private boolean over;

    RequestDriver(
            RequestRouter flow,
            ClientConnection client,
            ClientRequest clientRequest,
            String id,
            RequestPlan plan,
            int mostLines) {
        this.flow = flow;
        this.client = client;
        this.clientRequest = clientRequest;
        this.id = id;
        this.plan = plan;
        this.mostLines = mostLines;
        this.pace = flow.pace(plan.service());
        this.lifecycle =
                new RequestLifecycle(plan, this, pace::delayMs, flow::nextAsk, flow.edge(), flow.zone(), flow.now());
    }

    void begin() {
        lifecycle.begin(flow.now());
        settle();
    }

    // ---- From the client ------------------------------------------------------------------------
    /** The client is gone; nobody reads what still comes. */
    void gone() {
        if (client != null) {
            flow.counters().left++;
            to();
            roomAgain();
            lifecycle.gone(flow.now());
            settle();
        }
    }

    /** The process ends: the client is answered now unless its answer has begun. */
    void giveUp() {
        lifecycle.giveUp(flow.now());
        settle();
    }

    /** The client can take more of an answer. */
    void roomAgain() {
        if (flowing != null) {
            flowing.resume();
        }
    }

    /** The client, for its last word. */
    private ClientConnection to() {
        ClientConnection to = client;
        client = null;
        flow.answered();
        return to;
    }

    // ---- Time -----------------------------------------------------------------------------------
    /** After each event: the next timer, and what is to be let go of. */
    private void settle() {
        if (lifecycle.settled()) {
            letGo();
        }
        if (lifecycle.over()) {
            if (!over) {
                over = true;
                flow.over();
            }
            stopTimer();
            return;
        }
        long due = lifecycle.due();
        if (timer == null || timerAt > due) {
            stopTimer();
            timerAt = due;
            timer = flow.machine().loop().schedule(this::tick, Math.max(0, due - flow.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        timer = null;
        lifecycle.tick(flow.now());
        settle();
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void letGo() {
        if (held) {
            held = false;
            int bytes = clientRequest.body().readableBytes();
            clientRequest.release();
            flow.hold().give(bytes);
        }
        for (int i = 0; i < stops.size(); i++) {
            stops.get(i).drop();
        }
    }

    // ---- Hands ----------------------------------------------------------------------------------
    @Override
    public void ask(SlotRequest ask) {
        flow.counters().asks++;
        flow.counters().agains += ask.again() && !ask.copy() ? 1 : 0;
        flow.broker().ask(ask, new SlotRequester() {
            @Override
            public void granted(SlotGrant grant) {
                lifecycle.granted(grant, flow.now());
                settle();
            }

            @Override
            public void refused(int comeBackMs) {
                flow.counters().copiesRefused += ask.copy() ? 1 : 0;
                lifecycle.refused(ask.id(), comeBackMs, flow.now());
                settle();
            }
        });
    }

    @Override
    public void forget(long askId) {
        flow.broker().forget(askId);
    }

    @Override
    public void send(Attempt attempt, long hostEnd) {
        HostExchange stop = new HostExchange(this, attempt, hostEnd);
        attempt.tag = stop;
        stops.add(stop);
        flow.lines().send(stop);
    }

    @Override
    public void cancel(Attempt attempt) {
        ((HostExchange) attempt.tag).cancel(flow.lines());
    }

    @Override
    public void done(SlotGrant grant, AttemptOutcome fate, int tookMs) {
        flow.counters().fate(fate);
        flow.broker().done(grant, fate, tookMs);
    }

    @Override
    public void took(int ms) {
        pace.add(ms);
    }

    @Override
    public void pass(Attempt attempt) {
        passed(attempt);
        to().answer(((HostExchange) attempt.tag).take());
    }

    @Override
    public void flow(Attempt attempt) {
        passed(attempt);
        flowing = (HostExchange) attempt.tag;
        client.flow(flowing.coming());
    }

    private void passed(Attempt attempt) {
        flow.counters().passed++;
        flow.counters().copiesWon += attempt.copy ? 1 : 0;
    }

    @Override
    public void flowed() {
        flowing = null;
        if (client != null) {
            to().flowed();
        }
    }

    @Override
    public void cut() {
        flowing = null;
        if (client != null) {
            flow.counters().failed++;
            to().cut();
        }
    }

    @Override
    public void own(int status, int comeBackMs) {
        boolean refused = status == 503;
        flow.counters().refused += refused ? 1 : 0;
        flow.counters().late += status == 504 ? 1 : 0;
        flow.counters().failed += status == 502 ? 1 : 0;
        if (!refused) {
            flow.rateLimitedLog()
                    .info(flow.now(), "gave-up")
                    .with("status", status)
                    .with("id", id)
                    .with("service", plan.service())
                    .with("hosts", stops.size())
                    .with("took", flow.now() - clientRequest.at())
                    .log();
        }
        String code = refused ? "proxy.no-place" : status == 504 ? "proxy.out-of-time" : "proxy.host-failed";
        to().own(
                        status,
                        code,
                        !refused ? -1 : comeBackMs < 0 ? RequestRouter.COME_BACK_MS : comeBackMs,
                        id,
                        clientRequest.head());
    }

    // ---- From its stops -------------------------------------------------------------------------
    ClientRequest clientRequest() {
        return clientRequest;
    }

    String id() {
        return id;
    }

    boolean careful() {
        return !plan.repeatable();
    }

    int mostLines() {
        return mostLines;
    }

    MemoryBudget hold() {
        return flow.hold();
    }

    void up(Attempt attempt) {
        if (attempt.grant.booting()) {
            flow.broker().up(attempt.grant);
        }
    }

    void sent(Attempt attempt) {
        flow.counters().sends++;
        flow.counters().copies += attempt.copy ? 1 : 0;
        lifecycle.sent(attempt, flow.now());
        settle();
    }

    void unreached(Attempt attempt) {
        lifecycle.unreached(attempt, flow.now());
        settle();
    }

    boolean flowing(Attempt attempt) {
        boolean wanted = lifecycle.flowing(attempt, flow.now());
        settle();
        return wanted;
    }

    boolean more(ByteBuf bytes) {
        if (client == null) {
            bytes.release();
            return true;
        }
        return client.more(bytes);
    }

    boolean met(HostConnection line) {
        for (int i = 0; i < stops.size(); i++) {
            if (stops.get(i).wasOn(line)) {
                return true;
            }
        }
        return false;
    }

    /** Whether its byte may still go out now. */
    boolean wanted(Attempt attempt) {
        if (lifecycle.due() <= flow.now()) {
            lifecycle.tick(flow.now());
            settle();
        }
        return attempt.live;
    }

    void ended(Attempt attempt, AttemptOutcome fate, boolean withheld) {
        lifecycle.ended(attempt, fate, withheld, flow.now());
        settle();
    }
}
