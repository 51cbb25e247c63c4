package brambletray.platform.admission;

/**
 * Gives out the places of a seat: at once, by the line, or not. What is said to an ask that finds no place free, P
 * being the reckoned wait:
 * (a) P + work within the safe share of its target: it waits; (b) P within what a client heeds of its remaining time:
 * it is refused at once,
 * with when to come back (served within its target from then on, it earns more than a late answer); (c) P + work within
 * its time: it waits;
 * (d) it is refused at once. Calls of hosts, further tries and kinds that are behind their fair share are not sent away
 * while they can wait:
 * their callers don't come back, or would meet the same again.
 */
final class SlotAllocator {
    private final QueueContext context;
    private final InstancePool instances;
    private final Scaler scaler;
    private final InstanceSlots places;
    private final NestedCallReserve room;
    private final QueueTakeover taking;
    private final FairShare shares = new FairShare();
    private final RequestQueue line;
    private final RetryBudget budget;
    private final RefusedRequests herd = new RefusedRequests();

    SlotAllocator(
            QueueContext context,
            InstancePool instances,
            Scaler scaler,
            InstanceSlots places,
            NestedCallReserve room,
            QueueTakeover taking) {
        this.context = context;
        this.instances = instances;
        this.scaler = scaler;
        this.places = places;
        this.room = room;
        this.taking = taking;
        line = new RequestQueue(context.laws.queue(), shares);
        budget = new RetryBudget(context.laws.again());
    }

    RequestQueue line() {
        return line;
    }

    /** The service may have had another home, which has spent of the budget what is not known here. */
    void takenOver(long now) {
        budget.takenOver(now);
    }

    /** The service has no hosts: it has had no home whose further tries reached any of late. */
    void takenFirst() {
        budget.takenFirst();
    }

    /** Those in line and those told to come back. */
    int pressing(long now) {
        return line.size() + herd.open(now);
    }

    /** An ask that is to be answered here. */
    void ask(SlotRequest ask, long now) {
        boolean extra = ask.again() || ask.copy();
        note(ask, extra, now);
        if (extra && !budget.may(ask.copy(), now)) {
            context.refuse(ask, -1);
            return;
        }
        if (taking.unlisted(now)) {
            if (ask.copy()) {
                context.refuse(ask, -1);
            } else if (!join(ask, now)) {
                refuse(ask, taking.waitMs(now), now);
            }
            return;
        }
        PooledInstance post = free(ask, now);
        if (post != null) {
            grant(ask, ask.remainingMs(), post, now);
        } else if (ask.copy()) {
            context.refuse(ask, -1);
        } else {
            decide(ask, extra, now);
        }
    }

    private void note(SlotRequest ask, boolean extra, long now) {
        if (ask.inner()) {
            room.inner(now);
        }
        if (!extra) {
            if (!ask.inner()) {
                budget.request(now);
            }
            scaler.keepAlive.arrived(places.size() == 0 && line.size() == 0, now);
        }
        if (!ask.copy()) {
            scaler.demand.arrived(now);
        }
    }

    /** Puts an ask into the queue; false where that is full of those that go before it. */
    private boolean join(SlotRequest ask, long now) {
        if (line.full()) {
            RequestQueue.Waiter displaced = line.displace(ask, scaler.demand.workMs(context.spec), now);
            if (displaced == null) {
                return false;
            }
            refuse(displaced.ask, -1, now);
        }
        line.join(ask, now);
        return true;
    }

    private void refuse(SlotRequest ask, int comeBackMs, long now) {
        shares.lost(ask, now);
        context.refuse(ask, comeBackMs);
    }

    /** An edge no longer waits for this one, whose time is mostly over. */
    void forget(RequestQueue.Waiter waiter, long now) {
        line.remove(waiter);
        shares.lost(waiter.ask, now);
    }

    /**
     * The host for an ask that may be granted now, or null. Plain requests leave the places kept for calls of hosts,
     * copies a quarter of all. A
     * kind that is behind its fair share only has to leave them to calls altogether, whether these use them now or not:
     * calls may fill the service.
     */
    private PooledInstance free(SlotRequest ask, long now) {
        int total = scaler.working(now);
        int kept = ask.inner() ? 0 : room.kept(total, now);
        if (ask.copy()) {
            kept = Math.max(kept, room.fromCopies(total));
        }
        if (kept > 0 && instances.posts.free(context.most(), now) <= kept) {
            boolean fair = !ask.copy() && shares.of(ask).isBehind() && behindMay(total, kept);
            if (!fair) {
                return null;
            }
        }
        return instances.posts.choose(ask, context.most(), taking.blind(now), now);
    }

    /** Whether requests of clients hold so few places that those kept for calls would stay theirs. */
    private boolean behindMay(int total, int kept) {
        return places.ofClients() < total - kept;
    }

    private void grant(SlotRequest ask, long remainingMs, PooledInstance post, long now) {
        shares.served(ask, now);
        if (ask.again() || ask.copy()) {
            budget.spend(ask.copy(), now);
        }
        places.take(ask, post, remainingMs, now);
        context.out.grant(ask.edge(), new SlotGrant(ask.id(), post.id, post.address, false));
    }

    private void decide(SlotRequest ask, boolean extra, long now) {
        AdmissionParameters.Queue law = context.laws.queue();
        int work = scaler.demand.workMs(context.spec);
        int wait = Math.max(
                instances.posts.anyUnknown() ? taking.waitMs(now) : 0,
                scaler.waitMs(line.ahead(ask, work, now), herd, now));
        int target = ask.targetMs() > 0 ? ask.targetMs() : ask.remainingMs();
        // What goes before all others waits for one place only, whatever is reckoned from the rest.
        boolean first = ask.inner() || shares.of(ask).isBehind();
        boolean fits = (first ? 0 : wait) + work <= ask.remainingMs();
        int back = wait + law.marginMs();
        boolean heeded = back <= law.third() * ask.remainingMs();
        boolean stays = first || extra || !heeded || wait + work <= law.safe() * target;
        if (fits && stays && join(ask, now)) {
            return;
        }
        if (heeded) {
            herd.promise(wait, now);
        }
        refuse(ask, extra ? -1 : back, now);
    }

    /**
     * Calls of hosts that have waited for longer than a request takes, and no place has come back meanwhile: their
     * parents may hold all of them.
     */
    int stalledCalls(long now) {
        int work = scaler.demand.workMs(context.spec);
        return now - places.lastBack() < work ? 0 : line.callsBefore(now - work);
    }

    /** Gives free places to those in line, and refuses those whose time no longer suffices. */
    void pump(long now) {
        if (line.size() == 0) {
            return;
        }
        int work = scaler.demand.workMs(context.spec);
        for (RequestQueue.Waiter over = line.hopeless(work, now); over != null; over = line.hopeless(work, now)) {
            refuse(over.ask, -1, now);
        }
        if (taking.unlisted(now)) {
            return;
        }
        line.round();
        while (line.size() > 0) {
            int free = instances.posts.free(context.most(), now);
            int total = scaler.working(now);
            int kept = room.kept(total, now);
            if (free == 0 && context.laws.choice().leaveMs() <= 0) {
                return;
            }
            RequestQueue.Waiter first = line.next(kept > 0 && free <= kept, behindMay(total, kept), work, now);
            if (first == null) {
                return;
            }
            PooledInstance post = free(first.ask, now);
            if (post == null) {
                line.pass(first);
                continue;
            }
            line.remove(first);
            if (first.ask.again() && !budget.may(false, now)) {
                context.refuse(first.ask, -1);
            } else {
                grant(first.ask, first.end - now, post, now);
            }
        }
    }

    /** A place comes back; false where it is not out any more. */
    boolean done(String edge, SlotRelease done, long now) {
        Slot place = places.find(edge, done.askId());
        if (place == null || place.closed || !place.post.id.equals(done.host())) {
            return false;
        }
        PooledInstance post = place.post;
        switch (done.fate()) {
            case SERVED, FAILED -> {
                places.free(place, now);
                scaler.demand.answered(done.tookMs());
            }
            case CANCELLED, SILENT, BROKEN -> places.close(place, scaler.demand.tailMs(context.spec), now);
            case NOT_RUN -> {
                places.free(place, now);
                post.fullUntil = now + context.laws.limit().fullMs();
            }
            case WRONG_HOST, UNREACHED, UNUSED -> places.free(place, now);
        }
        switch (done.fate()) {
            case UNREACHED -> instances.miss(post, now);
            case WRONG_HOST -> instances.drop(post, "wrong host", now);
            case SILENT, BROKEN -> {
                instances.posts.judge(post, done.fate(), done.tookMs(), now);
                instances.doubt(post, now);
            }
            default -> instances.posts.judge(post, done.fate(), done.tookMs(), now);
        }
        return true;
    }

    /** Nothing will be served here any more. */
    void refuseAll() {
        for (RequestQueue.Waiter waiter : line.all()) {
            context.refuse(waiter.ask, -1);
        }
        line.all().clear();
    }

    long nextDue(long now) {
        return line.size() == 0
                ? Long.MAX_VALUE
                : Math.min(now + 100, line.nextEnd(scaler.demand.workMs(context.spec)));
    }
}
