package brambletray.tray.home;

/**
 * Gives out the places of a seat: at once, by the line, or not. What is said to an ask that finds no place free, P
 * being the reckoned wait: (a) P + work within the safe share of its target: it waits; (b) P within what a client heeds
 * of its remaining time: it is refused at once, with when to come back (served within its target from then on, it earns
 * more than a late answer); (c) P + work within its time: it waits; (d) it is refused at once. Calls of hosts and
 * further tries are not sent away while they can wait: their callers don't come back.
 */
final class Desk {
    private final Ward ward;
    private final Crew crew;
    private final Scaler scaler;
    private final Places places;
    private final Room room;
    private final Taking taking;
    private final Line line;
    private final Budget budget;
    private final Herd herd = new Herd();

    Desk(Ward ward, Crew crew, Scaler scaler, Places places, Room room, Taking taking) {
        this.ward = ward;
        this.crew = crew;
        this.scaler = scaler;
        this.places = places;
        this.room = room;
        this.taking = taking;
        line = new Line(ward.laws.queue());
        budget = new Budget(ward.laws.again());
    }

    Line line() {
        return line;
    }

    /** Those in line and those told to come back. */
    int pressing(long now) {
        return line.size() + herd.open(now);
    }

    /** An ask that is to be answered here. */
    void ask(Ask ask, long now) {
        boolean extra = ask.again() || ask.copy();
        note(ask, extra, now);
        if (extra && !budget.may(ask.copy(), now)) {
            ward.refuse(ask, -1);
            return;
        }
        if (taking.unlisted(now)) {
            if (line.full() || ask.copy()) {
                ward.refuse(ask, ask.copy() ? -1 : taking.waitMs(now));
            } else {
                line.join(ask, now);
            }
            return;
        }
        Post post = free(ask, now);
        if (post != null) {
            grant(ask, ask.remainingMs(), post, now);
        } else if (ask.copy()) {
            ward.refuse(ask, -1);
        } else {
            decide(ask, extra, now);
        }
    }

    private void note(Ask ask, boolean extra, long now) {
        if (ask.inner()) {
            room.inner(now);
        }
        if (!extra) {
            if (!ask.inner()) {
                budget.request(now);
            }
            scaler.keeping.arrived(places.size() == 0 && line.size() == 0, now);
        }
        if (!ask.copy()) {
            scaler.demand.arrived(now);
        }
    }

    /**
     * The host for an ask that may be granted now, or null. Plain requests leave the places kept for calls of hosts,
     * copies a quarter of all.
     */
    private Post free(Ask ask, long now) {
        int total = scaler.working(now);
        int kept = ask.inner() ? 0 : room.kept(total, now);
        if (ask.copy()) {
            kept = Math.max(kept, room.fromCopies(total));
        }
        if (kept > 0 && crew.posts.free(ward.most(), now) <= kept) {
            return null;
        }
        return crew.posts.choose(ask, ward.most(), taking.blind(now), now);
    }

    private void grant(Ask ask, long remainingMs, Post post, long now) {
        if (ask.again() || ask.copy()) {
            budget.spend(ask.copy(), now);
        }
        places.take(ask.edge(), ask.id(), post, remainingMs, now);
        ward.out.grant(ask.edge(), new Grant(ask.id(), post.id, post.address, false));
    }

    private void decide(Ask ask, boolean extra, long now) {
        Laws.Queue law = ward.laws.queue();
        int work = scaler.demand.workMs(ward.spec);
        int wait = Math.max(
                crew.posts.anyUnknown() ? taking.waitMs(now) : 0, scaler.waitMs(line.ahead(ask, work, now), herd, now));
        int target = ask.targetMs() > 0 ? ask.targetMs() : ask.remainingMs();
        boolean fits = wait + work <= ask.remainingMs() && !line.full();
        if (fits && wait + work <= law.safe() * target) {
            line.join(ask, now);
            return;
        }
        int back = wait + law.marginMs();
        boolean heeded = back <= law.third() * ask.remainingMs();
        if (fits && (ask.inner() || extra || !heeded)) {
            line.join(ask, now);
            return;
        }
        if (heeded) {
            herd.promise(wait, now);
        }
        ward.refuse(ask, extra ? -1 : back);
    }

    /** Gives free places to those in line, and refuses those whose time no longer suffices. */
    void pump(long now) {
        if (line.size() == 0) {
            return;
        }
        int work = scaler.demand.workMs(ward.spec);
        for (Line.Waiter over = line.hopeless(work, now); over != null; over = line.hopeless(work, now)) {
            ward.refuse(over.ask, -1);
        }
        if (taking.unlisted(now)) {
            return;
        }
        line.round();
        while (line.size() > 0) {
            int free = crew.posts.free(ward.most(), now);
            int kept = room.kept(scaler.working(now), now);
            if (free == 0 && ward.laws.choice().leaveMs() <= 0) {
                return;
            }
            Line.Waiter first = line.next(kept > 0 && free <= kept, work, now);
            if (first == null) {
                return;
            }
            Post post = free(first.ask, now);
            if (post == null) {
                line.pass(first);
                continue;
            }
            line.remove(first);
            if (first.ask.again() && !budget.may(false, now)) {
                ward.refuse(first.ask, -1);
            } else {
                grant(first.ask, first.end - now, post, now);
            }
        }
    }

    /** A place comes back; false where it is not out any more. */
    boolean done(String edge, Done done, long now) {
        Place place = places.find(edge, done.askId());
        if (place == null || place.closed || !place.post.id.equals(done.host())) {
            return false;
        }
        Post post = place.post;
        switch (done.fate()) {
            case SERVED, FAILED -> {
                places.free(place, now);
                scaler.demand.answered(done.tookMs());
            }
            case CANCELLED, SILENT, BROKEN -> places.close(place, scaler.demand.tailMs(ward.spec), now);
            case NOT_RUN -> {
                places.free(place, now);
                post.fullUntil = now + ward.laws.limit().fullMs();
            }
            case WRONG_HOST, UNREACHED, UNUSED -> places.free(place, now);
        }
        switch (done.fate()) {
            case UNREACHED -> crew.miss(post, now);
            case WRONG_HOST -> crew.drop(post, "wrong host", now);
            case SILENT, BROKEN -> {
                crew.posts.judge(post, done.fate(), done.tookMs(), now);
                crew.doubt(post, now);
            }
            default -> crew.posts.judge(post, done.fate(), done.tookMs(), now);
        }
        return true;
    }

    /** Nothing will be served here any more. */
    void refuseAll() {
        for (Line.Waiter waiter : line.all()) {
            ward.refuse(waiter.ask, -1);
        }
        line.all().clear();
    }

    long nextDue(long now) {
        return line.size() == 0 ? Long.MAX_VALUE : Math.min(now + 100, line.nextEnd(scaler.demand.workMs(ward.spec)));
    }
}
