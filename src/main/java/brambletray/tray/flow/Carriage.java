package brambletray.tray.flow;

import brambletray.tray.home.Ask;
import brambletray.tray.home.Fate;
import brambletray.tray.home.Grant;
import brambletray.tray.home.Pace;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Carries out what a {@link Trip} wants, and tells it what happens: between one client, the broker and the lines to
 * hosts.
 */
final class Carriage implements Hands {
    private final Flow flow;
    private final Parcel parcel;
    private final String id;
    private final Plan plan;
    private final int mostLines;
    private final Trip trip;
    private final Pace pace;
    private final List<Stop> stops = new ArrayList<>(2);
    /** Null once it has its answer or is gone. */
    private Client client;
    /** Where the answer comes from that is given on as it comes. */
    private Stop flowing;

    private Future<?> timer;
    private long timerAt;
    private boolean held = true;
    private boolean over;

    Carriage(Flow flow, Client client, Parcel parcel, String id, Plan plan, int mostLines) {
        this.flow = flow;
        this.client = client;
        this.parcel = parcel;
        this.id = id;
        this.plan = plan;
        this.mostLines = mostLines;
        this.pace = flow.pace(plan.service());
        this.trip = new Trip(plan, this, pace::delayMs, flow::nextAsk, flow.edge(), flow.zone(), flow.now());
    }

    void begin() {
        trip.begin(flow.now());
        settle();
    }

    // ---- From the client ------------------------------------------------------------------------
    /** The client is gone; nobody reads what still comes. */
    void gone() {
        if (client != null) {
            flow.tally().left++;
            to();
            roomAgain();
            trip.gone(flow.now());
            settle();
        }
    }

    /** The process ends: the client is answered now unless its answer has begun. */
    void giveUp() {
        trip.giveUp(flow.now());
        settle();
    }

    /** The client can take more of an answer. */
    void roomAgain() {
        if (flowing != null) {
            flowing.resume();
        }
    }

    /** The client, for its last word. */
    private Client to() {
        Client to = client;
        client = null;
        flow.answered();
        return to;
    }

    // ---- Time -----------------------------------------------------------------------------------
    /** After each event: the next timer, and what is to be let go of. */
    private void settle() {
        if (trip.settled()) {
            letGo();
        }
        if (trip.over()) {
            if (!over) {
                over = true;
                flow.over();
            }
            stopTimer();
            return;
        }
        long due = trip.due();
        if (timer == null || timerAt > due) {
            stopTimer();
            timerAt = due;
            timer = flow.machine().loop().schedule(this::tick, Math.max(0, due - flow.now()), TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        timer = null;
        trip.tick(flow.now());
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
            int bytes = parcel.body().readableBytes();
            parcel.release();
            flow.hold().give(bytes);
        }
        for (int i = 0; i < stops.size(); i++) {
            stops.get(i).drop();
        }
    }

    // ---- Hands ----------------------------------------------------------------------------------
    @Override
    public void ask(Ask ask) {
        flow.tally().asks++;
        flow.tally().agains += ask.again() && !ask.copy() ? 1 : 0;
        flow.broker().ask(ask, new Taker() {
            @Override
            public void granted(Grant grant) {
                trip.granted(grant, flow.now());
                settle();
            }

            @Override
            public void refused(int comeBackMs) {
                flow.tally().copiesRefused += ask.copy() ? 1 : 0;
                trip.refused(ask.id(), comeBackMs, flow.now());
                settle();
            }
        });
    }

    @Override
    public void forget(long askId) {
        flow.broker().forget(askId);
    }

    @Override
    public void send(Leg leg, long hostEnd) {
        Stop stop = new Stop(this, leg, hostEnd);
        leg.tag = stop;
        stops.add(stop);
        flow.lines().send(stop);
    }

    @Override
    public void cancel(Leg leg) {
        ((Stop) leg.tag).cancel(flow.lines());
    }

    @Override
    public void done(Grant grant, Fate fate, int tookMs) {
        flow.tally().fate(fate);
        flow.broker().done(grant, fate, tookMs);
    }

    @Override
    public void took(int ms) {
        pace.add(ms);
    }

    @Override
    public void pass(Leg leg) {
        passed(leg);
        to().answer(((Stop) leg.tag).take());
    }

    @Override
    public void flow(Leg leg) {
        passed(leg);
        flowing = (Stop) leg.tag;
        client.flow(flowing.coming());
    }

    private void passed(Leg leg) {
        flow.tally().passed++;
        flow.tally().copiesWon += leg.copy ? 1 : 0;
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
            flow.tally().failed++;
            to().cut();
        }
    }

    @Override
    public void own(int status, int comeBackMs) {
        boolean refused = status == 503;
        flow.tally().refused += refused ? 1 : 0;
        flow.tally().late += status == 504 ? 1 : 0;
        flow.tally().failed += status == 502 ? 1 : 0;
        if (!refused) {
            flow.murmur()
                    .tell(
                            flow.now(),
                            "gave-up",
                            "status",
                            status,
                            "id",
                            id,
                            "service",
                            plan.service(),
                            "hosts",
                            stops.size(),
                            "took",
                            flow.now() - parcel.at());
        }
        String code = refused ? "flow.no-place" : status == 504 ? "flow.out-of-time" : "flow.host-failed";
        to().own(status, code, !refused ? -1 : comeBackMs < 0 ? Flow.COME_BACK_MS : comeBackMs, id, parcel.head());
    }

    // ---- From its stops -------------------------------------------------------------------------
    Parcel parcel() {
        return parcel;
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

    void up(Leg leg) {
        if (leg.grant.booting()) {
            flow.broker().up(leg.grant);
        }
    }

    void sent(Leg leg) {
        flow.tally().sends++;
        flow.tally().copies += leg.copy ? 1 : 0;
        trip.sent(leg, flow.now());
        settle();
    }

    void unreached(Leg leg) {
        trip.unreached(leg, flow.now());
        settle();
    }

    boolean flowing(Leg leg) {
        boolean wanted = trip.flowing(leg, flow.now());
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
    boolean wanted(Leg leg) {
        if (trip.due() <= flow.now()) {
            trip.tick(flow.now());
            settle();
        }
        return leg.live;
    }

    void ended(Leg leg, Fate fate, boolean withheld) {
        trip.ended(leg, fate, withheld, flow.now());
        settle();
    }
}
